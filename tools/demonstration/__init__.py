"""Parts of the demo: deployments, processes, timeline and report."""
