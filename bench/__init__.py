"""Measurements of the decisions and of what they cost."""
