"""Connections of HTTP clients: what is read, held and sent, and for how long."""
