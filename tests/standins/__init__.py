"""Stand-ins of the platform, of targets and of the network."""
