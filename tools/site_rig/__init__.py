"""A deployment of a site file as processes on loopback, and its check."""
