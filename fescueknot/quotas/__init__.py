"""Rate limits of client accounts over the whole fleet."""
