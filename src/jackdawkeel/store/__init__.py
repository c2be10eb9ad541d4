"""The platform's key-value store: a narrow interface and its adapter."""
