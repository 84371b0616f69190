"""Emulator of the platform: store, runners and operator, with faults."""
