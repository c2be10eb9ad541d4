"""The entry process: HTTP towards callers and operators."""
