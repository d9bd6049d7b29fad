"""The balancer on sockets: event loop, line protocol, peers, pool config, and the decider's actor."""
