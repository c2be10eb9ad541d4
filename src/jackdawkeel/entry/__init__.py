"""The entry process, which serves callers and operators over HTTP."""
