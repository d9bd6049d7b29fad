"""The protocol between balancers: frames, membership and replicated registers.

The package does no I/O, except that file.py reads the fleet file and its key files.  Times and random
generators are passed in by the caller.  It is loaded only where a fleet file is given; see
docs/replication.md.
"""
