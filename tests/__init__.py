"""All tests of the workspace."""
