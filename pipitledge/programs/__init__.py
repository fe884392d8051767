"""Entry points of the node and the agent: they read the settings, build the components and run them."""

import signal

# SIGHUP asks a running process to reload its settings file. The default action would terminate a process that is still
# starting, so the signal is ignored until the handler is installed; the file is checked for changes soon after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
