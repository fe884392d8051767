"""The command line as `python -m pipitledge.cli`."""

from pipitledge.cli.main import main

main()
