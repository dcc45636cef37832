"""Replays the golden sessions.

`python -m poplarhill_dev golden record` records them again.
"""

from pathlib import Path

import pytest

from poplarhill_dev.golden import replay

SESSIONS = sorted(Path(__file__).parent.glob("*.txt"))


@pytest.mark.parametrize("path", SESSIONS, ids=lambda path: path.stem)
def test_the_session_is_as_recorded(path) -> None:
    recorded = path.read_text(encoding="utf-8")
    assert replay(recorded) == recorded
