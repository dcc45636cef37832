"""Experiments that measure a fleet of real processes under load and faults."""
