"""Commands of the command line for operators, one module per kind of resource."""
