"""The protocol between balancers: frames, membership and replicated registers.

Does no I/O and reads no clock or random source of its own, except for the fleet file.  Loaded only where a
fleet file is given; see docs/replication.md.
"""
