"""Adapter to the platform: its store, table, object store, VM list and HTTP formats."""
