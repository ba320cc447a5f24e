"""Talk to callers: the HTTP API, its streams, tickets and addresses."""
