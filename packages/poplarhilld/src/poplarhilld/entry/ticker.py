"""The decisions of an entry host that depend on time."""

import time
from collections.abc import Mapping

import structlog

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
_SHORTEST_PAUSE_S = 0.2  # a loop that is only busy is rarely this late
_TAKEOVER_TIME_S = 3.0  # by then all runs of a lost leader have ended
_log = structlog.get_logger()


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
        self._remembered_shards: Mapping[str, Mapping[str, WorkerEntry]] = {}

    async def run(self) -> None:
        """Run the time-dependent decisions and write the log at short intervals."""
        state = self._state
        while True:
            now = uptime()
            if len(state.submissions) or state.leader.workers:
                shortest_s = longest_s = TICK_S
            else:
                shortest_s = _IDLE_TICK_S
                longest_s = max(shortest_s, state.hosts.next_tick_at(now) - now)
            # A caller that waits little longer than the limit must still get an answer.
            until_deadline_s = state.submissions.next_deadline - now
            shortest_s = min(shortest_s, until_deadline_s)
            longest_s = min(longest_s, until_deadline_s)
            due, processor_s = now + max(0.0, longest_s), processor_time_s()
            state.overload.expect_turn(due)
            await state.pause.wait(shortest_s, longest_s)
            late_s = uptime() - due
            if late_s > _SHORTEST_PAUSE_S:
                _log.info(
                    "ProcessPaused",
                    late_s=round(late_s, 3),
                    processor_s=round(processor_time_s() - processor_s, 3),
                    jobs=len(state.submissions),
                    led_jobs=len(state.leader.jobs),
                )
            lines = state.overload.note_turn(uptime(), processor_time_s())
            if lines:
                await self._performer.perform(lines)
            await self.tick(hosts_too=False)
            self._logs.flush()

    async def tick(self, hosts_too: bool = True) -> None:
        """Make the decisions that depend on time and perform their actions.

        Args:
            hosts_too: Whether to decide on hosts and claims although nothing is due,
                such as after the list of workers has changed.
        """
        state, perform = self._state, self._performer.perform
        now = uptime()
        if state.busy.is_due(now):
            state.busy.measure(now, processor_time_s())
        due = state.leader.workers or state.hosts.next_tick_at(now) <= now
        if hosts_too or due:
            await self._update_hosts(now)
        await perform(state.leader.tick(uptime()))
        now = uptime()
        await perform(state.submissions.update_leaders(now, state.known_leaders(now)))
        await perform(state.submissions.tick(uptime()))

    async def _update_hosts(self, now: float) -> None:
        """Decide which hosts are live and which shards and workers this host leads."""
        state = self._state
        unread_s = now - state.registry_read_at
        state.hosts.set_outdated(
            bool(state.hosts.claims) and unread_s > _REGISTRY_OUTDATED_S
        )
        if state.shards is not self._remembered_shards:
            self._remembered_shards = state.shards
            read = (
                entry for shard in state.shards.values() for entry in shard.values()
            )
            state.leader.remember_workers(read)
        state.hosts.set_workers_digests(state.leader.workers_digests)
        state.hosts.set_oldest_offer(state.leader.report_oldest_offer(now))
        actions = state.hosts.tick(
            now,
            time.time(),
            {shard: len(entries) for shard, entries in state.shards.items()},
            state.registry_read,
            state.load(now),
            state.catalogue.version,
            {**state.reachable_since, **state.last_reply_of_led_shards(now)},
        )
        if not state.hosts.claims and state.leader.workers:
            # Other hosts hand its jobs over once a heartbeat says that it has stopped.
            actions = [*state.leader.resign(), *actions]
        await self._performer.perform(actions)
        await self._update_led_workers()

    async def _update_led_workers(self) -> None:
        """Lead exactly the workers of the shards that this host claims."""
        state, perform = self._state, self._performer.perform
        if not state.hosts.claims:
            return
        now = uptime()
        led_entries: dict[str, WorkerEntry] = {}
        former_offers_at: dict[str, float] = {}
        not_led_here: set[str] = set()
        led_by_others: set[str] = set()
        for shard, entries in state.shards.items():
            if shard in state.hosts.claims:
                led_entries.update(entries)
                former = state.hosts.former_leaders.get(shard)
                if former is not None and now - former.heard_at < _TAKEOVER_TIME_S:
                    oldest_at = former.oldest_offer_at
                    former_offers_at.update(dict.fromkeys(entries, oldest_at))
            else:
                not_led_here.update(entries)
                if state.hosts.leader(shard) is not None:
                    led_by_others.update(entries)
        await perform(
            state.leader.set_workers(
                now,
                time.time(),
                led_entries,
                frozenset(not_led_here),
                former_offers_at,
                frozenset(led_by_others),
            )
        )
