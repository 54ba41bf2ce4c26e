"""Adapters for the users' platform: its metadata store, headers and HTTP pages."""
