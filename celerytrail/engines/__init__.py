"""Client side of the engine protocol: streams, load reports, cache events, orders."""
