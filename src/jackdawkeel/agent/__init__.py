"""The agent process; one runs beside each target."""
