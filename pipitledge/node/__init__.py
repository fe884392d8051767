"""The real node: clients on one side, workers and discovery on the other, the module between."""
