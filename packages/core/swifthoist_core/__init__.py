"""Aggregates and records of the swifthoist scheduler."""
