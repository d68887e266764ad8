"""Which service answers a request, and what may be done with it."""
