"""Sharing the fleet between teams: contracts, budgets and pools.

``contract`` reads and checks the operators' file; the other modules do no I/O, and none reads the clock.
``admission`` admits or refuses requests and selects the connections to reclaim; it uses ``budget`` (usage and
lending of a resource), ``gcra`` (rate limiters) and ``retry_queue`` (when refused clients retry).  ``fair``
computes fair shares, and ``pools`` assigns destinations to pools.
"""
