"""Analyses of logs and simulations: bounds on worth, and causes of lateness."""
