"""Replay of job arrivals through placement policies, by arithmetic alone."""

from poplarhill_dev.replay.command import replay as replay
