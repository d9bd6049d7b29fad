"""The broker between teams: contracts, budgets and pools, free of I/O and clock.

``contract`` is the operators' file and its checks, ``gcra``, ``fair`` and ``budget`` the limits and what is
lent, ``bookings`` when the refused may come back, ``ledger`` what each team holds and is owed, ``pools``
which destinations are whose.
"""
