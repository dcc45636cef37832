"""What the loop of a host logs when its process did not run for a while."""

import os
import time
from types import SimpleNamespace

import curio
import pytest

from poplarhill.types import Address
from poplarhilld.entry import EntrySettings, ticker
from poplarhilld.entry.clock import uptime
from poplarhilld.entry.logs import LogBuffer
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.performer import Performer
from poplarhilld.entry.state import HostState
from poplarhilld.entry.ticker import Ticker

ANY = Address("127.0.0.1", 0)


class _StopLoopError(Exception):
    """Ends the loop of the ticker."""


# Guards against decisions after a pause of the process that look like any other.
@pytest.mark.parametrize(("pause_s", "logged"), [(0.4, 1), (0.0, 0)])
def test_a_pause_of_the_process_is_logged(monkeypatch, pause_s, logged) -> None:
    lines = []

    log = SimpleNamespace(info=lambda event, **fields: lines.append((event, fields)))

    async def main() -> None:
        settings = EntrySettings("h1", "dc1", ANY, ANY, ANY, ANY, ANY)
        state = HostState(settings, uptime())
        waits = [pause_s]

        async def wait(shortest_s: float, longest_s: float) -> None:
            if not waits:
                raise _StopLoopError
            time.sleep(longest_s + waits.pop())

        monkeypatch.setattr(state.pause, "wait", wait)
        monkeypatch.setattr(ticker, "_log", log)
        performer = Performer(state, None, EntryMetrics())
        reading, writing = os.pipe()
        with pytest.raises(_StopLoopError):
            await Ticker(state, performer, LogBuffer(writing)).run()
        os.close(reading)
        os.close(writing)

    curio.run(main)
    assert [event for event, _ in lines] == ["ProcessPaused"] * logged
    for _, fields in lines:
        assert fields["late_s"] >= pause_s
        assert fields["processor_s"] < pause_s
