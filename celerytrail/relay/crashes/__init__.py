"""Which requests crash endpoints: evidence, decisions and news of all nodes."""
