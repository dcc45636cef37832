"""Simulated replay of job arrivals through placement policies."""

from poplarhill_dev.replay.command import replay as replay
from poplarhill_dev.replay.cost import placement_cost as placement_cost
