"""Relay calls through two daemons: the ingress daemon and the target's gate.

The ingress daemon receives a request from a caller on its instance, chooses a
target, and sends the call to the daemon beside that target. The gate in that
daemon controls the admission of calls to the target. A run is one execution
of a request by a target.
"""
