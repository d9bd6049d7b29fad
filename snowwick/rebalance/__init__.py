"""Slow rebalancing: which standing connections to move, and when.  Free of I/O and clock."""
