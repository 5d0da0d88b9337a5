"""Stored histories: turns that carry only their new input."""
