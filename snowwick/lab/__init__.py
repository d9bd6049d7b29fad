"""Test and measurement tools: simulated networks, stand-ins and the rig of real processes.

``serve`` never imports this package.
"""
