"""The check of a configuration knows the longest timeout that hosts accept."""

from poplarhill.configuration.check.limits import LONGEST_TIMEOUT_S
from poplarhilld.api import requests


# Guards against a warning about waits that callers may by now ask for.
def test_the_check_has_the_same_longest_timeout() -> None:
    assert requests._MAX_TIMEOUT_S == LONGEST_TIMEOUT_S
