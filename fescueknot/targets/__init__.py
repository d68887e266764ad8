"""State of targets: that on the local host, and those of the fleet."""
