"""Failure scenarios in a small language, and the drivers that run them."""
