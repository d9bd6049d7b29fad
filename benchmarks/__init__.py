"""Measurements that can be run again by anyone: ``python -m benchmarks.NAME [--quick] --json FILE``."""
