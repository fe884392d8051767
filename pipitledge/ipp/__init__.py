"""IPP on the same core: print jobs under the module's rules, each with one final outcome."""
