"""Decisions of a balancer for long-lived connections: adaptive throttle and rendezvous placement."""
