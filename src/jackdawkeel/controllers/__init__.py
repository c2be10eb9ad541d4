"""Controllers: each owns one kind of state and gets messages and a clock passed in."""
