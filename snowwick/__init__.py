"""A load balancer for connections that last."""

__version__ = "0.1.0"
