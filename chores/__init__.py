"""Chores a developer runs through make."""
