"""Fleet membership and replication of the platform's store by gossip.

Instance announcements and store documents reach every node by gossip. A few
nodes per failure domain read the store; all other nodes receive the documents
and the time of the last read from them.
"""
