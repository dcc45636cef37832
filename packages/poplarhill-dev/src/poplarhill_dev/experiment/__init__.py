"""Experiments: a fleet of real processes under load and faults, measured."""
