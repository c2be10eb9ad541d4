"""Stand-ins of the third review: a minion, a client, and a small deployment."""
