"""The node on a platform: relays callers' requests to endpoints by route."""
