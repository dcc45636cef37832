"""The decisions of an entry host that depend on time."""

import time

import curio

from poplarhilld.catalogue import WorkerEntry
from poplarhilld.entry.clock import processor_time_s, uptime
from poplarhilld.entry.logs import LogBuffer
from poplarhilld.entry.performer import Performer
from poplarhilld.entry.state import HostState
from poplarhilld.entry.store import LEADER_REGISTRY_REFRESH_S

TICK_S = 0.05  # a third of the heartbeat interval
_IDLE_TICK_S = 0.075  # without jobs and workers; half of the heartbeat interval
# A leader that has missed two reads asks other hosts what they have read.
_REGISTRY_OUTDATED_S = 2 * LEADER_REGISTRY_REFRESH_S


class Ticker:
    """Makes the decisions that depend on time, and writes the log.

    Args:
        state: State of this host.
        performer: Performs the resulting actions.
        logs: Buffer of the log lines.
    """

    def __init__(self, state: HostState, performer: Performer, logs: LogBuffer) -> None:
        self._state = state
        self._performer = performer
        self._logs = logs

    async def run(self) -> None:
        """Run the time-dependent decisions and write the log at short intervals."""
        state = self._state
        while True:
            busy = len(state.submissions) or state.leader.workers
            interval_s = TICK_S if busy else _IDLE_TICK_S
            # A caller that waits little longer than the limit must still get an answer.
            until_deadline_s = state.submissions.next_deadline - uptime()
            async with curio.ignore_after(max(0.0, min(interval_s, until_deadline_s))):
                await state.tick_wanted.wait()
            state.tick_wanted.clear()
            await self.tick()
            self._logs.flush()

    async def tick(self) -> None:
        """Make the decisions that depend on time and perform their actions."""
        state, perform = self._state, self._performer.perform
        now = uptime()
        unread_s = now - state.registry_read_at
        state.hosts.set_outdated(
            bool(state.hosts.claims) and unread_s > _REGISTRY_OUTDATED_S
        )
        if state.busy.is_due(now):
            state.busy.measure(now, processor_time_s())
        actions = state.hosts.tick(
            now,
            time.time(),
            {shard: len(entries) for shard, entries in state.shards.items()},
            state.registry_read,
            state.load(now),
            state.catalogue.version,
            {**state.reachable_since, **state.last_reply_of_led_shards(now)},
        )
        await perform(actions)
        await self._update_led_workers()
        await perform(state.leader.tick(uptime()))
        now = uptime()
        await perform(state.submissions.update_leaders(now, state.known_leaders(now)))
        await perform(state.submissions.tick(uptime()))

    async def _update_led_workers(self) -> None:
        """Lead exactly the workers of the shards that this host claims."""
        state, perform = self._state, self._performer.perform
        if not state.hosts.claims:
            if state.leader.workers:
                await perform(state.leader.resign())
            return
        led_entries: dict[str, WorkerEntry] = {}
        not_led_here: set[str] = set()
        for shard, entries in state.shards.items():
            if shard in state.hosts.claims:
                led_entries.update(entries)
            else:
                not_led_here.update(entries)
        await perform(
            state.leader.set_workers(
                uptime(), time.time(), led_entries, frozenset(not_led_here)
            )
        )
