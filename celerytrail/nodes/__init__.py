"""Communication with the other nodes: membership, gossip, pool homes and limits."""
