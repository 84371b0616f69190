"""Soak tests: the real programs under overlapping injected faults."""
