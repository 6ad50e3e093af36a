"""Membership of the fleet: live daemons, their zones and the instance list."""
