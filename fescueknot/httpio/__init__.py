"""HTTP/1.1 client and server on an event loop, with unstreamed messages."""
