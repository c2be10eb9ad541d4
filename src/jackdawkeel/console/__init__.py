"""The command-line interface: daemons, and clients of an entry."""
