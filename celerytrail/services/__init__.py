"""Talk to plain services: calls that may not be repeated."""
