"""An instance: admits jobs, folds the log, and may hold the cell."""
