"""Adapters between the router's types and the formats of the users' platform."""
