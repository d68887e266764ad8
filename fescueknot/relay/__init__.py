"""Relays calls from the caller's node to the node beside the target."""
