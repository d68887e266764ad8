"""Client accounts: who sends a request, by its key."""
