"""Requests that crash the targets that run them, and who is told of them."""
