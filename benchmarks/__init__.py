"""Reproducible benchmarks: ``python -m benchmarks.NAME [--quick] --json FILE``."""
