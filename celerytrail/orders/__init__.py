"""Orders to engines: what is due, under which lease, and how fast."""
