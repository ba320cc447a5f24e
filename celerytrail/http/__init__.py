"""HTTP: messages, client, server, routes, and the network beneath."""
