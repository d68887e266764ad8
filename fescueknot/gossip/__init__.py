"""Replication of the store's documents between nodes by gossip."""
