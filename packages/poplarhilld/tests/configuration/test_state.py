"""The configuration in force on a host, under any input from the log and peers."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill import ErrorKind, JobSpec
from poplarhill.configuration import (
    READ_LIMIT,
    Change,
    Restoration,
    Snapshot,
    decode_record,
    encode_record,
)
from poplarhill.platform import Batch, Record, Truncated, Unavailable
from poplarhill.types import Address
from poplarhilld.configuration import (
    AppendRecord,
    ConfigurationState,
    LogRead,
    ReadLog,
    ToPeer,
)
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import AnswerJob, LogDecision, SendFrame
from poplarhilld.dispatch.events import FrameReceived, JobSubmitted, Started
from poplarhilld.peers import (
    ConfigurationNews,
    ConfigurationOffer,
    ConfigurationRequest,
    Heartbeat,
)

RETENTION_S = 100.0
NAMES = ("h1", "h2", "h3")


class Log:
    """The configuration stream, in memory."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.earliest = 0
        self.time = 0.0

    @property
    def end(self) -> int:
        """Offset of the next append."""
        return self.earliest + len(self.records)

    def append(self, body: str) -> None:
        """Append a record."""
        self.records.append(Record(self.end, self.time, body))

    def truncate(self, earliest: int) -> None:
        """Drop the records below an offset."""
        earliest = min(max(earliest, self.earliest), self.end)
        del self.records[: earliest - self.earliest]
        self.earliest = earliest

    def read(self, offset: int, limit: int = 500) -> Batch | Truncated:
        """Return the result of a read, as the platform does."""
        if offset < self.earliest:
            return Truncated(self.earliest)
        first = offset - self.earliest
        found = tuple(self.records[first : first + limit])
        return Batch(found, offset + len(found), self.end, self.time)


def host(name: str = "h1", seed: int = 1) -> ConfigurationState:
    state = ConfigurationState(name, RETENTION_S, Random(seed))
    state.set_peers(tuple(peer for peer in NAMES if peer != name))
    return state


def host_without_peers() -> ConfigurationState:
    state = host()
    state.set_peers(())
    return state


def patch(version: int) -> dict:
    return {"customers": {"kelani": {"weight": version}}}


def change(base_version: int) -> str:
    record = Change(
        f"c{base_version}", base_version, "ada", "n", patch(base_version + 1)
    )
    return encode_record(record)


def log_of(versions: int) -> Log:
    log = Log()
    for version in range(versions):
        log.append(change(version))
    return log


def of_type(kind: type, outputs: list) -> list:
    return [output for output in outputs if isinstance(output, kind)]


def read_all(state: ConfigurationState, log: Log, now: float = 0.0) -> list:
    """Read until the state delays its next read, and return all outputs."""
    offset, outputs = 0, []
    while True:
        outputs += state.handle_read(now, offset, log.read(offset))
        offset, delay_s = outputs[-1].offset, outputs[-1].delay_s
        if delay_s:
            return outputs


def written(outputs: list) -> list:
    return [decode_record(output.body) for output in of_type(AppendRecord, outputs)]


def test_records_read_by_one_host_take_effect_on_its_peers() -> None:
    log = log_of(2)
    reader, follower, newcomer = host("h1"), host("h2"), host("h3")
    read_all(reader, log)
    read_all(follower, log)
    log.append(change(2))
    sent = of_type(ToPeer, reader.handle_read(0.0, 2, log.read(2)))
    assert [message.peer for message in sent] == ["h2", "h3"]
    assert not of_type(ToPeer, follower.receive(0.0, "h1", sent[0].message))
    [request] = of_type(ToPeer, newcomer.receive(0.0, "h1", sent[1].message))
    [offer] = reader.receive(0.0, "h3", request.message)
    newcomer.receive(0.0, "h1", offer.message)
    assert [reader.version, follower.version, newcomer.version] == [3, 3, 3]


def test_a_newer_version_in_a_heartbeat_is_requested() -> None:
    newer = host("h2").receive(0.0, "h2", Heartbeat((), 4))
    assert newer == []  # the sender is not one of its peers
    [asked] = host("h1").receive(0.0, "h2", Heartbeat((), 4))
    assert asked == ToPeer("h2", ConfigurationRequest(0))


def test_a_new_host_without_the_log_adopts_the_highest_version_of_its_peers() -> None:
    ahead, behind, new = host("h1"), host("h2"), host("h3")
    read_all(ahead, log_of(5), now=10.0)
    read_all(behind, log_of(3), now=10.0)
    requests = of_type(ToPeer, new.start())
    assert [request.peer for request in requests] == ["h1", "h2"]
    for peer, request in zip((ahead, behind), requests, strict=True):
        [offer] = peer.receive(12.0, "h3", request.message)
        new.receive(20.0, request.peer, offer.message)
    assert (new.version, new.complete, new.age(20.0)) == (5, True, 2.0)
    log = log_of(7)
    log.truncate(5)
    new.handle_read(21.0, 5, log.read(5))
    assert new.version == 7


def test_a_host_with_neither_log_nor_peers_refuses_with_a_retry_time() -> None:
    identity = Identity("h1", "dc1", Address("127.0.0.1", 1), 1, {})
    dispatcher = Dispatcher(identity, Random(1))
    dispatcher.handle(0.0, Started())
    dispatcher.handle(0.0, LogRead(0, Unavailable("down")))
    job = JobSpec("j", "booking", "default", (b"",), 9.0)
    logged, answer = dispatcher.handle(0.0, JobSubmitted(job))
    assert isinstance(logged, LogDecision)
    assert isinstance(answer, AnswerJob)
    assert answer.outcome.kind is ErrorKind.NOT_READY
    assert answer.outcome.retry_after_s > 0


def test_a_host_resumes_after_truncation_from_a_snapshot_or_a_peer() -> None:
    informed, log = host("h1"), log_of(4)
    read_all(informed, log)
    log.append(log.records[0].body)
    log.truncate(4)
    lost = host("h2")
    read_all(lost, log)
    assert (lost.version, lost.complete) == (0, False)
    [offer] = informed.receive(0.0, "h2", ConfigurationRequest(0))
    lost.receive(0.0, "h1", offer.message)
    assert (lost.version, lost.complete) == (4, True)
    [snapshot] = written(read_all(host_without_peers(), log_of(4)))
    log.append(encode_record(snapshot))
    log.truncate(5)
    late = host("h3")
    read_all(late, log)
    assert not late.complete  # the snapshot ends before the end of the gap


def test_one_snapshot_is_written_per_quarter_of_the_retention() -> None:
    state, log = host_without_peers(), log_of(3)
    [snapshot] = written(read_all(state, log))
    assert (snapshot.version, snapshot.next_offset) == (3, 3)
    log.append(encode_record(snapshot))
    log.time = RETENTION_S / 4
    assert written(read_all(state, log)) == []
    log.time += 1.0
    [again] = written(read_all(state, log))
    assert again.next_offset == 4


def test_hosts_share_the_writing_of_snapshots_until_one_is_overdue() -> None:
    log = log_of(1)
    states = [host(seed=seed) for seed in range(300)]
    writers = sum(bool(written(read_all(state, log))) for state in states)
    assert 50 < writers < 150  # each of three hosts writes with probability 1/3
    log.time = RETENTION_S
    assert all(written(read_all(state, log)) for state in states)


def test_the_read_limit_shrinks_while_reads_fail() -> None:
    state = host()
    limits = [
        state.handle_read(0.0, 0, Unavailable("too large"))[-1].limit for _ in range(6)
    ]
    assert limits == sorted(limits, reverse=True)
    assert limits[-1] == 1
    assert read_all(state, log_of(1))[-1].limit > 1


def test_hosts_restore_their_version_to_a_log_that_was_reset() -> None:
    state = host_without_peers()
    read_all(state, log_of(6))
    reset = Log()
    state.handle_read(0.0, 6, reset.read(6))
    [record] = written(read_all(state, reset))
    assert isinstance(record, Restoration)
    assert (state.version, record.version) == (6, 6)
    reset.append(change(0))
    reset.append(encode_record(record))
    reset.append(change(6))
    new = host("h2")
    read_all(new, reset)
    read_all(state, reset)
    assert (new.version, state.version) == (7, 7)


@pytest.mark.parametrize(
    "message",
    [
        ConfigurationOffer(9, float("nan"), "{"),
        ConfigurationOffer(9, -1.0, encode_record(Snapshot(9, {"bad": 1}, 9, 0.0))),
        ConfigurationOffer(1, 0.0, encode_record(Snapshot(1, {}, 99, 0.0))),
        ConfigurationNews(9, 2, ("", "{", encode_record(Snapshot(9, {}, 0, 0.0)))),
        ConfigurationNews(1, 0, (change(0), change(0))),
    ],
)
def test_an_outdated_or_invalid_message_changes_nothing(message) -> None:
    state = host()
    read_all(state, log_of(2))
    before = state.configuration
    state.receive(0.0, "h2", message)
    assert state.configuration == before


def test_poll_delays_are_bounded_by_the_fleet_size() -> None:
    state, log = host(), log_of(1)
    delays = [read_all(state, log)[-1].delay_s for _ in range(200)]
    assert all(0 < delay <= 4.0 for delay in delays)
    state.set_peers(())
    assert all(read_all(state, log)[-1].delay_s <= 1.5 for _ in range(200))


_HOSTS = st.sampled_from(NAMES)
_STEPS = st.one_of(
    st.tuples(st.just("publish"), st.integers(0, 2)),
    st.tuples(st.just("read"), _HOSTS),
    st.tuples(st.just("read"), _HOSTS),
    st.tuples(st.just("outage"), _HOSTS),
    st.tuples(st.just("deliver"), st.integers(0, 9)),
    st.tuples(st.just("deliver"), st.integers(0, 9)),
    st.tuples(st.just("drop"), st.integers(0, 9)),
    st.tuples(st.just("replace"), _HOSTS),
    st.tuples(st.just("truncate"), st.integers(0, 3)),
    st.tuples(st.just("reset"), st.none()),
)


class Hosts:
    """Three hosts, the log, and the frames and appends in flight.

    Attributes:
        offsets: Offset from which each host reads next.
        frames: Frames in flight: sender, receiver, message.
        appends: Bodies of the appends in flight.
        versions: Version last in force on each host.
        newest: Highest version that was in force on any host.
    """

    def __init__(self) -> None:
        self.log = Log()
        self.states = {name: host(name, seed) for seed, name in enumerate(NAMES)}
        self.offsets = dict.fromkeys(NAMES, 0)
        self.frames: list[tuple[str, str, object]] = []
        self.appends: list[str] = []
        self.versions = dict.fromkeys(NAMES, 0)
        self.newest = 0

    def carry_out(self, name: str, outputs: list) -> None:
        """Carry out the outputs of a host; check that its version did not decrease."""
        for output in outputs:
            match output:
                case ReadLog(offset):
                    self.offsets[name] = offset
                case AppendRecord(body):
                    self.appends.append(body)
                case ToPeer(peer, message):
                    self.frames.append((name, peer, message))
        assert self.states[name].version >= self.versions[name]
        self.versions[name] = self.states[name].version
        self.newest = max(self.newest, self.states[name].version)

    def read(self, name: str, down: bool = False) -> None:
        """Let a host read up to three records, or fail to."""
        offset = self.offsets[name]
        result = Unavailable("down") if down else self.log.read(offset, 3)
        self.carry_out(
            name, self.states[name].handle_read(self.log.time, offset, result)
        )

    def deliver(self, index: int) -> None:
        """Deliver a frame, which stays in flight and may be delivered again."""
        sender, peer, message = self.frames[index]
        outputs = self.states[peer].receive(self.log.time, sender, message)
        self.carry_out(peer, outputs)

    def step(self, kind: str, value) -> None:
        """Carry out one step of a generated history."""
        self.log.time += 1.0
        match kind:
            case "publish":
                # Base the change on a version close to the newest, so that some are
                # accepted.
                version = max(0, max(self.versions.values()) - value)
                self.log.append(change(version))
            case "read":
                self.read(value)
            case "outage":
                self.read(value, down=True)
            case "deliver" if self.frames:
                self.deliver(value % len(self.frames))
            case "drop" if self.frames:
                self.frames.pop(value % len(self.frames))
            case "replace":
                self.states[value] = host(value)
                self.versions[value] = 0
                self.offsets[value] = 0
            case "truncate":
                self.log.truncate(self.log.end - value)
            case "reset":
                self.log, time = Log(), self.log.time
                self.log.time = time
        if self.appends and kind != "reset":
            self.log.append(self.appends.pop(0))

    def heal(self) -> None:
        """Deliver all frames and carry out all reads and appends, for 12 rounds."""
        for _ in range(12):
            for name in NAMES:
                for _ in range(12):
                    self.read(name)
                for _ in range(len(self.frames)):
                    self.deliver(0)
                    self.frames.pop(0)
            while self.appends:
                self.log.append(self.appends.pop(0))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(_STEPS, max_size=40))
def test_versions_never_decrease_and_hosts_converge(steps: list) -> None:
    hosts = Hosts()
    for kind, value in steps:
        hosts.step(kind, value)
    held = max(hosts.versions.values())
    hosts.heal()
    versions = {state.version for state in hosts.states.values()}
    assert len(versions) == 1
    assert versions.pop() >= held


def test_the_dispatcher_sends_what_the_state_asks_for() -> None:
    seeds = {"h2": Address("127.0.0.1", 2)}
    identity = Identity("h1", "dc1", Address("127.0.0.1", 1), 1, seeds)
    dispatcher = Dispatcher(identity, Random(1))
    actions = dispatcher.handle(0.0, Started())
    assert actions == [
        SendFrame("h2", ConfigurationRequest(0)),
        ReadLog(0, 0.0, READ_LIMIT),
    ]
    log = log_of(2)
    dispatcher.handle(0.0, LogRead(0, log.read(0)))
    assert dispatcher.ready
    request = FrameReceived("h2", ConfigurationRequest(0))
    [offer] = of_type(SendFrame, dispatcher.handle(0.0, request))
    assert offer.message.version == 2
