"""Slow rebalancing: which established connections to move, and when.  Does no I/O and reads no clock."""
