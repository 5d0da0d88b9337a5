"""Benchmarks the scheduling policies against stand-ins."""
