"""Golden sessions: text files of a host's events and resulting actions."""

from poplarhill_dev.golden.session import replay as replay
