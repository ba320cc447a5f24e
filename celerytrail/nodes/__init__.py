"""Talk to the other nodes: membership, gossip, reservations."""
