"""Best-effort jobs whose tasks claim processors and memory on agents' targets."""
