"""Calls to plain services, including those that must not run twice."""
