"""Links: connections that carry typed messages between processes, over pynng."""
