"""Sharing the fleet between teams: contracts, budgets and pools.  Does no I/O and reads no clock.

``contract`` reads and checks the operators' file.  ``admission`` admits or refuses requests and selects the
connections to reclaim; it uses ``budget`` (usage and lending of a resource), ``gcra`` (limits on rates) and
``retry_queue`` (when refused clients retry).  ``fair`` computes fair shares, and ``pools`` assigns
destinations to pools.
"""
