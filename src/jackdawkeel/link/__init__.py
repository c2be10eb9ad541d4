"""Typed messages between the processes of the dispatcher, over pynng."""
