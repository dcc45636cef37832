"""Golden sessions: a host's events and decisions as text, compared exactly."""

from poplarhill_dev.golden.session import replay as replay
