"""Controllable stand-ins of the engines, the plain services and the platform."""
