"""Plans of attempts by class and route: read from a file, checked against the rules, looked up by path."""
