"""The network code: event loop, line protocol, both sides of connections, pool config, decider actors."""
