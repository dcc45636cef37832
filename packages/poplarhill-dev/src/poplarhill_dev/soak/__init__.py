"""Randomized soak tests: real processes under faults injected from outside."""
