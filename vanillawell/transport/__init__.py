"""Own sockets: callers, backend servers, peers and the store."""
