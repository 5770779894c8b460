"""Sockets and network protocols."""
