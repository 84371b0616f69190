"""State machine of the cell's log, and the scheduling decisions based on it."""
