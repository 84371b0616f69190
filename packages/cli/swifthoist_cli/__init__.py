"""Command line of swifthoist for operators."""
