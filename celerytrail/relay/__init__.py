"""Relays callers' requests to endpoints by route: what a node does on a platform."""
