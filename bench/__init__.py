"""Benches."""
