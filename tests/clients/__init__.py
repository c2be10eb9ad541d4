"""Clients that send more than they should, or take longer than they should."""
