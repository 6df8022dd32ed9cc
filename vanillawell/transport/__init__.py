"""Network transports to callers, backend servers, peers and the store."""
