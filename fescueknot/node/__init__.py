"""The node: HTTP servers and clients, background tasks and assembly."""
