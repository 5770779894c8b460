"""Decisions without input or output."""
