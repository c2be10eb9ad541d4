"""The agent process, one beside each target."""
