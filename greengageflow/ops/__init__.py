"""Command-line tools for operators."""
