"""Which configuration is in force on one host, and how it learns of newer ones.

The log decides; peers only pass on what one of them has read there. The version
in force never goes back, whatever the log or a peer says.
"""

from random import Random

from poplarhill.configuration import (
    READ_LIMIT,
    Configuration,
    Fold,
    Rejection,
    Restoration,
    Snapshot,
    decode_record,
    encode_record,
)
from poplarhill.platform import Batch, ReadResult, Record, Truncated
from poplarhilld.configuration.messages import (
    AppendRecord,
    ChangeRejected,
    ConfigurationInForce,
    LogUnreadable,
    Output,
    ReadLog,
    RecordWritten,
    ToPeer,
)
from poplarhilld.peers.messages import (
    ConfigurationNews,
    ConfigurationOffer,
    ConfigurationRequest,
    Heartbeat,
    Message,
)

_POLL_S_PER_HOST = 0.375
_UNREADY_POLL_S = 1.0
_LONGEST_POLL_S = 3.0
_POLL_SPREAD = 1 / 3
_PEERS_ASKED = 2
_NEWS_BYTES = 64 * 1024
_SNAPSHOTS_PER_RETENTION = 4
_LIMIT_FACTOR = 4
_NEVER_S = 1e9


class ConfigurationState:
    """Decides what one host does about its configuration.

    Args:
        name: Name of this host.
        retention_s: Shortest time that the log keeps records, s.
        random: Source of poll times and of the choice of peers.
    """

    def __init__(self, name: str, retention_s: float, random: Random) -> None:
        self._name = name
        self._snapshot_every_s = retention_s / _SNAPSHOTS_PER_RETENTION
        self._overdue_s = 2 * self._snapshot_every_s
        self._first_time: float | None = None
        self._limit = READ_LIMIT
        self._random = random
        self._fold = Fold()
        self._configuration = self._fold.configuration
        self._snapshot = self._fold.make_snapshot(0.0)
        self._confirmed_at: float | None = None
        self._peers: tuple[str, ...] = ()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, once one is known."""
        return self._configuration if self._configuration.version else None

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self._configuration.version

    @property
    def complete(self) -> bool:
        """Whether the log can be folded from where this host is."""
        return self._fold.complete

    def age(self, now: float) -> float | None:
        """Return the time since the log confirmed the version in force, s."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Set the names of the other entry hosts."""
        self._peers = peers

    def start(self) -> list[Output]:
        """Ask every peer, and begin to read the log."""
        request = ConfigurationRequest(0)
        asked = [ToPeer(peer, request) for peer in self._peers]
        return [*asked, ReadLog(self._fold.next_offset, 0.0, self._limit)]

    def handle_read(self, now: float, offset: int, result: ReadResult) -> list[Output]:
        """Decide on the end of a read, and when to read again.

        Args:
            now: The host's own clock, s.
            offset: Offset that was asked for.
            result: The log's answer.
        """
        outputs: list[Output] = []
        before = self._fold.next_offset
        at_end = False
        match result:
            case Batch(end_offset=end) if end < offset:
                self._fold = Fold()
            case Batch():
                self._limit = min(self._limit * _LIMIT_FACTOR, READ_LIMIT)
                at_end = self._fold_batch(result, outputs)
            case Truncated(earliest):
                self._fold.skip_to(earliest)
            case unavailable:
                # It may be that so many records make too large an answer.
                self._limit = max(self._limit // _LIMIT_FACTOR, 1)
                self._ask_some(offset, unavailable.detail, outputs)
        if at_end:
            self._at_end(now, result, outputs)
        moved = self._fold.next_offset != before
        delay_s = 0.0 if moved and not at_end else self._poll_delay()
        outputs.append(ReadLog(self._fold.next_offset, delay_s, self._limit))
        return outputs

    def receive(self, now: float, sender: str, message: Message) -> list[Output]:
        """Decide on a frame from a peer; other frames than ours are passed over."""
        outputs: list[Output] = []
        match message:
            case ConfigurationRequest(newer_than):
                self._answer(now, sender, newer_than, outputs)
            case ConfigurationOffer():
                self._take_offer(now, sender, message, outputs)
            case ConfigurationNews():
                self._take_news(sender, message, outputs)
            case Heartbeat(configuration_version=version):
                self._ask_if_newer(sender, version, outputs)
        return outputs

    def _fold_batch(self, batch: Batch, outputs: list[Output]) -> bool:
        """Fold what was read; return whether that is all there is."""
        version = self.version
        first = self._fold.next_offset
        self._fold_records(batch.records, outputs)
        self._put_in_force("log", batch.time, outputs)
        if self.version > version:
            self._spread_news(first, batch.records, outputs)
        return self._fold.next_offset >= batch.end_offset

    def _fold_records(self, records: tuple[Record, ...], outputs: list[Output]) -> None:
        for record in records:
            outcome = self._fold.apply(record)
            if isinstance(outcome, Rejection):
                outputs.append(ChangeRejected(*outcome))

    def _put_in_force(self, source: str, time: float, outputs: list[Output]) -> None:
        """Put the fold's state in force if it is newer."""
        previous = self.version
        if self._fold.configuration.version < previous:
            return
        self._configuration = self._fold.configuration
        self._snapshot = self._fold.make_snapshot(time)
        if self.version > previous:
            offset = self._fold.next_offset
            decision = ConfigurationInForce(self.version, previous, source, offset)
            outputs.append(decision)

    def _at_end(self, now: float, batch: Batch, outputs: list[Output]) -> None:
        """Note that the log has nothing newer, and write what it needs."""
        if not self._fold.complete:
            self._ask_some(batch.next_offset, "no snapshot after a gap", outputs)
            return
        if self._fold.configuration.version < self.version:
            if self._is_chosen():
                snapshot = self._snapshot
                record = Restoration(snapshot.version, snapshot.document, self._name)
                self._write(record, outputs)
            return
        self._confirmed_at = now
        current = self._fold.next_offset == batch.end_offset
        if self.version and current and self._snapshot_is_due(batch.time):
            self._write(self._snapshot, outputs)

    def _snapshot_is_due(self, time: float) -> bool:
        """Return whether to write a snapshot, by the log's clock.

        While it is due the hosts share the work by chance; overdue, they don't.
        """
        if self._first_time is None:
            self._first_time = time
        newest = self._fold.snapshot_time
        if time - (newest or self._first_time) > self._overdue_s:
            return True
        due = newest is None or time - newest > self._snapshot_every_s
        return due and self._is_chosen()

    def _is_chosen(self) -> bool:
        """Return by chance whether this host writes what any host may write."""
        return self._random.random() * (1 + len(self._peers)) < 1.0

    def _write(self, record: Snapshot | Restoration, outputs: list[Output]) -> None:
        kind = type(record).__name__
        offset = self._fold.next_offset
        outputs.append(RecordWritten(kind, record.version, offset))
        outputs.append(AppendRecord(encode_record(record)))

    def _spread_news(
        self, first: int, records: tuple[Record, ...], outputs: list[Output]
    ) -> None:
        bodies = tuple(record.body for record in records if record.offset >= first)
        if sum(len(body) for body in bodies) > _NEWS_BYTES:
            bodies = ()
        news = ConfigurationNews(self.version, first, bodies)
        outputs.extend(ToPeer(peer, news) for peer in self._peers)

    def _take_news(
        self, sender: str, news: ConfigurationNews, outputs: list[Output]
    ) -> None:
        records = tuple(
            Record(news.first_offset + index, 0.0, body)
            for index, body in enumerate(news.records[:READ_LIMIT])
        )
        self._fold_records(records, outputs)
        self._put_in_force(sender, self._snapshot.time, outputs)
        self._ask_if_newer(sender, news.version, outputs)

    def _take_offer(
        self,
        now: float,
        sender: str,
        offer: ConfigurationOffer,
        outputs: list[Output],
    ) -> None:
        snapshot = decode_record(offer.snapshot) if offer.snapshot else None
        if isinstance(snapshot, Snapshot) and self._wants(snapshot):
            self._fold.adopt(snapshot, offer.snapshot_time or None)
            self._put_in_force(sender, snapshot.time, outputs)
        if offer.version == self.version and 0 <= offer.age_s < _NEVER_S:
            confirmed_at = now - offer.age_s
            self._confirmed_at = max(self._confirmed_at or confirmed_at, confirmed_at)

    def _wants(self, snapshot: Snapshot) -> bool:
        """Return whether a peer's state helps this host."""
        if self._fold.complete:
            return snapshot.version > self.version
        return snapshot.version >= self.version

    def _answer(
        self, now: float, sender: str, newer_than: int, outputs: list[Output]
    ) -> None:
        if sender not in self._peers or not self.version:
            return
        age_s = self.age(now)
        offer = ConfigurationOffer(self.version, _NEVER_S if age_s is None else age_s)
        if self.version > newer_than:
            offer = offer._replace(
                snapshot=encode_record(self._snapshot),
                snapshot_time=self._fold.snapshot_time or 0.0,
            )
        outputs.append(ToPeer(sender, offer))

    def _ask_if_newer(self, peer: str, version: int, outputs: list[Output]) -> None:
        if version > self.version and peer in self._peers:
            outputs.append(ToPeer(peer, ConfigurationRequest(self.version)))

    def _ask_some(self, offset: int, reason: str, outputs: list[Output]) -> None:
        """Ask a few peers in place of the log."""
        count = min(_PEERS_ASKED, len(self._peers))
        asked = tuple(self._random.sample(self._peers, count))
        outputs.append(LogUnreadable(offset, reason, asked))
        # An incomplete fold needs a peer's place in the log at the same version.
        newer_than = self.version if self._fold.complete else max(0, self.version - 1)
        request = ConfigurationRequest(newer_than)
        outputs.extend(ToPeer(peer, request) for peer in asked)

    def _poll_delay(self) -> float:
        """Return a random delay; a small fleet polls as often as one of 8 hosts."""
        mean_s = min(_POLL_S_PER_HOST * (1 + len(self._peers)), _LONGEST_POLL_S)
        if not self.version:
            mean_s = _UNREADY_POLL_S
        spread = self._random.uniform(1 - _POLL_SPREAD, 1 + _POLL_SPREAD)
        return mean_s * spread
