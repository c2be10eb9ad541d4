"""Controllers, one per kind of state, driven by messages and an injected clock."""
