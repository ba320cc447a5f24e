"""HTTP/1.1 client and server: messages, routes and the network interface."""
