"""Benches of the project."""
