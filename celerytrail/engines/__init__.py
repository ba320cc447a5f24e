"""Talk to model engines: streams, load reports, cache events, orders."""
