"""An overload control that refuses nearly all jobs, as after two late turns."""

import pytest

from poplarhilld.overload import OverloadControl


@pytest.fixture
def late_control() -> OverloadControl:
    control = OverloadControl(99.0, 1.0)
    for turn in range(3):
        control.expect_turn(99.0 + 0.5 * turn)
        control.note_turn(99.5 + 0.5 * turn, 0.5 * turn)
    assert control.late
    return control
