"""Commands of the operators' command line, by what they act on."""
