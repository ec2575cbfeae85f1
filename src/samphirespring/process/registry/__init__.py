"""The registry: the hosts in the fleet, and the host that reports each target."""
