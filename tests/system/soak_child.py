"""A program for a test: says that it has begun, and waits for its end."""

import os
import signal

os.write(int(os.environ["HELD"]), b"began")
signal.pause()
