"""Tests of the whole system, with instances as processes."""
