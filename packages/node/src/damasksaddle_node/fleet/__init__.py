"""The fleet log, and the roster, documents and keys that are stored in it."""
