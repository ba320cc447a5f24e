"""The HTTP API for callers: its streams, tickets and address list."""
