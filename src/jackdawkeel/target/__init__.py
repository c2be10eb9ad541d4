"""The HTTP client with which an agent calls its target."""
