"""The command line of swifthoist for operators."""
