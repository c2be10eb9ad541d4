"""Stand-ins for the store, targets and network, and fleets of processes on them."""
