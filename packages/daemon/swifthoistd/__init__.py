"""The entry instance of the swifthoist scheduler."""
