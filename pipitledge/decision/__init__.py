"""The decision logic of the dispatcher: no I/O, no clock of its own."""
