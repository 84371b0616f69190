"""Types, errors, clocks and counters that all packages of swifthoist share."""
