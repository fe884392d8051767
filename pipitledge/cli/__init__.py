"""The command line: thin sub-commands on click. A node that is started without arguments imports none of it."""
