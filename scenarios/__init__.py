"""Scripted failures in a small language, and what runs them."""
