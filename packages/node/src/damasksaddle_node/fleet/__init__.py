"""Roster, documents and keys: the fleet log and what depends on it."""
