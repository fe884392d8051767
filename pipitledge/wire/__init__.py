"""The internal protocol: typed messages, and their encoding in FlatBuffers."""
