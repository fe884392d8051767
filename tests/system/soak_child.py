"""A child process for tests: reports on a pipe that it has started, and waits to be terminated."""

import os
import signal

os.write(int(os.environ["HELD"]), b"began")
signal.pause()
