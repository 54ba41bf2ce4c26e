"""Decisions on requests, without input or output."""
