"""Scheduling and admission decisions as functions without I/O or clocks."""
