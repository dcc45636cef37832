"""The pause between two ticks, on a real clock: bounds are wide."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from poplarhilld.entry.clock import uptime
from poplarhilld.entry.pause import Pause

SHORT_S = 0.05
LONG_S = 20.0

Act = Callable[[Pause], Awaitable[None]]


async def end(pause: Pause) -> None:
    await pause.end()


async def shorten(pause: Pause) -> None:
    await pause.shorten()


async def shorten_twice(pause: Pause) -> None:
    for _ in range(2):
        await pause.shorten()
        await curio.sleep(SHORT_S / 10)


async def shorten_and_end(pause: Pause) -> None:
    await pause.shorten()
    await curio.sleep(SHORT_S / 10)
    await pause.end()


def duration(act: Act, before: bool, shortest_s: float) -> float:
    """Return how long a pause takes that something ends or shortens, s."""

    async def main() -> float:
        pause = Pause()
        if before:
            await act(pause)
        begin = uptime()
        waiting = await curio.spawn(pause.wait, shortest_s, LONG_S)
        await curio.sleep(0)
        if not before:
            await act(pause)
        await waiting.join()
        return uptime() - begin

    return curio.run(main)


# Guards against a decision that waits for the end of an idle pause, such as after a
# host has refused a connection, and against one pause for each such change.
@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("act", [shorten, shorten_twice])
def test_a_shortened_pause_takes_its_shortest_time(act: Act, before: bool) -> None:
    assert SHORT_S <= duration(act, before, SHORT_S) < LONG_S / 2


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("act", [end, shorten_and_end])
def test_a_pause_that_is_ended_does_not_wait(act: Act, before: bool) -> None:
    assert duration(act, before, LONG_S) < LONG_S / 2


# Guards against a pause that ends early because of what ended the one before.
def test_the_next_pause_is_whole() -> None:
    async def main() -> float:
        pause = Pause()
        await shorten_and_end(pause)
        await pause.wait(SHORT_S, LONG_S)
        begin = uptime()
        await pause.wait(SHORT_S, 3 * SHORT_S)
        return uptime() - begin

    assert curio.run(main) >= 3 * SHORT_S
