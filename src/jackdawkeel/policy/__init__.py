"""Decisions as plain functions over plain data."""
