"""Orders to engines: what to change, under which lease, and at which rate."""
