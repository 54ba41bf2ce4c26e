"""Runs fleets of real processes on loopback for tests, demo and benchmarks."""
