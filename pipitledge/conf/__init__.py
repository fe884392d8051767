"""Our configuration files: grammar, units, the places of mistakes. Knows no meaning and no socket."""
