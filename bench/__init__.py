"""Benchmarks that print each measured figure as a line of JSON."""
