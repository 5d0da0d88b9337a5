"""Measures the scheduling policies on stand-ins."""
