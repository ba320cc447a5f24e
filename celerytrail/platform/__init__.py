"""Talk to the platform: table, object store, VM list, weight store."""
