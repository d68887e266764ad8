"""Object stores: interface, HTTP client, in-memory store and stand-in."""
