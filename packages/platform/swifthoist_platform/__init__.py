"""Clients of the platform that swifthoist runs on."""
