"""Follows the configuration on one host and decides which version is in force.

The log is authoritative; peers only forward what one of them has read from it. The
version in force never decreases, whatever the log or a peer contains.
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
_MAX_POLL_S = 3.0
_POLL_JITTER = 1 / 3
_PEERS_ASKED = 2
_MAX_NEWS_BYTES = 64 * 1024
_SNAPSHOTS_PER_RETENTION = 4
_READ_LIMIT_FACTOR = 4
_UNCONFIRMED_AGE_S = 1e9


class ConfigurationState:
    """State machine of the configuration of one host.

    Args:
        name: Name of this host.
        retention_s: Minimum time that the log keeps records, s.
        random: Source of the poll jitter and of random choices.
    """

    def __init__(self, name: str, retention_s: float, random: Random) -> None:
        self._name = name
        self._snapshot_interval_s = retention_s / _SNAPSHOTS_PER_RETENTION
        self._snapshot_overdue_s = 2 * self._snapshot_interval_s
        self._first_snapshot_check_at: float | None = None
        self._read_limit = READ_LIMIT
        self._random = random
        self._fold = Fold()
        self._configuration = self._fold.configuration
        self._snapshot = self._fold.make_snapshot(0.0)
        self._confirmed_at: float | None = None
        self._peers: tuple[str, ...] = ()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or `None` before the first."""
        return self._configuration if self._configuration.version else None

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self._configuration.version

    @property
    def complete(self) -> bool:
        """Whether the state covers every record before the next offset to read."""
        return self._fold.complete

    def age(self, now: float) -> float | None:
        """Return the time since the log confirmed the version in force, s.

        Returns:
            `None` if the log has not confirmed a version yet.
        """
        return None if self._confirmed_at is None else now - self._confirmed_at

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Set the names of the other entry hosts."""
        self._peers = peers

    def start(self) -> list[Output]:
        """Ask every peer for its configuration and start to read the log."""
        request = ConfigurationRequest(0)
        asked = [ToPeer(peer, request) for peer in self._peers]
        return [*asked, ReadLog(self._fold.next_offset, 0.0, self._read_limit)]

    def handle_read(self, now: float, offset: int, result: ReadResult) -> list[Output]:
        """Process the result of a read and schedule the next read.

        Args:
            now: Time by the host's clock, s.
            offset: Offset from which the read started.
            result: Result from the log.
        """
        outputs: list[Output] = []
        before = self._fold.next_offset
        at_end = False
        match result:
            case Batch(end_offset=end) if end < offset:
                # The log has lost its records and started again at offset 0.
                self._fold = Fold()
            case Batch():
                self._read_limit = min(
                    self._read_limit * _READ_LIMIT_FACTOR, READ_LIMIT
                )
                at_end = self._fold_batch(result, outputs)
            case Truncated(earliest):
                self._fold.skip_to(earliest)
            case unavailable:
                # The read may have failed because the response was too large.
                self._read_limit = max(self._read_limit // _READ_LIMIT_FACTOR, 1)
                self._ask_peers(offset, unavailable.detail, outputs)
        if at_end:
            self._handle_end(now, result, outputs)
        advanced = self._fold.next_offset != before
        delay_s = 0.0 if advanced and not at_end else self._poll_delay()
        outputs.append(ReadLog(self._fold.next_offset, delay_s, self._read_limit))
        return outputs

    def receive(self, now: float, sender: str, message: Message) -> list[Output]:
        """Process a message from a peer if it concerns the configuration."""
        outputs: list[Output] = []
        match message:
            case ConfigurationRequest(newer_than):
                self._send_offer(now, sender, newer_than, outputs)
            case ConfigurationOffer():
                self._apply_offer(now, sender, message, outputs)
            case ConfigurationNews():
                self._apply_news(sender, message, outputs)
            case Heartbeat(configuration_version=version):
                self._ask_if_newer(sender, version, outputs)
        return outputs

    def _fold_batch(self, batch: Batch, outputs: list[Output]) -> bool:
        """Apply the records read; return whether they reach the end of the log."""
        version = self.version
        first = self._fold.next_offset
        self._fold_records(batch.records, outputs)
        self._put_in_force("log", batch.time, outputs)
        if self.version > version:
            self._broadcast_news(first, batch.records, outputs)
        return self._fold.next_offset >= batch.end_offset

    def _fold_records(self, records: tuple[Record, ...], outputs: list[Output]) -> None:
        for record in records:
            outcome = self._fold.apply(record)
            if isinstance(outcome, Rejection):
                outputs.append(ChangeRejected(*outcome))

    def _put_in_force(self, source: str, time: float, outputs: list[Output]) -> None:
        """Put the configuration of the fold in force unless it is older."""
        previous = self.version
        if self._fold.configuration.version < previous:
            return
        self._configuration = self._fold.configuration
        self._snapshot = self._fold.make_snapshot(time)
        if self.version > previous:
            offset = self._fold.next_offset
            decision = ConfigurationInForce(self.version, previous, source, offset)
            outputs.append(decision)

    def _handle_end(self, now: float, batch: Batch, outputs: list[Output]) -> None:
        """Process a read that reached the end of the log.

        A log that lacks the version in force gets a restoration; an up-to-date one
        confirms that version, and gets a snapshot if one is due.
        """
        if not self._fold.complete:
            self._ask_peers(
                batch.next_offset, "the log has no snapshot after a gap", outputs
            )
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
        """Return whether this host should write a snapshot now.

        A snapshot is due after a quarter of the log's retention: each host then
        writes it with a probability of one in the number of hosts. It is overdue
        after half of the retention: every host then writes it.

        Args:
            time: Time by the log's clock, s.
        """
        if self._first_snapshot_check_at is None:
            self._first_snapshot_check_at = time
        newest = self._fold.snapshot_time
        if time - (newest or self._first_snapshot_check_at) > self._snapshot_overdue_s:
            return True
        due = newest is None or time - newest > self._snapshot_interval_s
        return due and self._is_chosen()

    def _is_chosen(self) -> bool:
        """Return `True` with a probability of one in the number of hosts."""
        return self._random.random() * (1 + len(self._peers)) < 1.0

    def _write(self, record: Snapshot | Restoration, outputs: list[Output]) -> None:
        kind = type(record).__name__
        offset = self._fold.next_offset
        outputs.append(RecordWritten(kind, record.version, offset))
        outputs.append(AppendRecord(encode_record(record)))

    def _broadcast_news(
        self, first: int, records: tuple[Record, ...], outputs: list[Output]
    ) -> None:
        """Send the records to every peer, or only the version if they are too large."""
        bodies = tuple(record.body for record in records if record.offset >= first)
        if sum(len(body) for body in bodies) > _MAX_NEWS_BYTES:
            bodies = ()
        news = ConfigurationNews(self.version, first, bodies)
        outputs.extend(ToPeer(peer, news) for peer in self._peers)

    def _apply_news(
        self, sender: str, news: ConfigurationNews, outputs: list[Output]
    ) -> None:
        records = tuple(
            Record(news.first_offset + index, 0.0, body)
            for index, body in enumerate(news.records[:READ_LIMIT])
        )
        self._fold_records(records, outputs)
        self._put_in_force(sender, self._snapshot.time, outputs)
        self._ask_if_newer(sender, news.version, outputs)

    def _apply_offer(
        self,
        now: float,
        sender: str,
        offer: ConfigurationOffer,
        outputs: list[Output],
    ) -> None:
        snapshot = decode_record(offer.snapshot) if offer.snapshot else None
        if isinstance(snapshot, Snapshot) and self._is_useful(snapshot):
            self._fold.adopt(snapshot, offer.snapshot_time or None)
            self._put_in_force(sender, snapshot.time, outputs)
        if offer.version == self.version and 0 <= offer.age_s < _UNCONFIRMED_AGE_S:
            confirmed_at = now - offer.age_s
            self._confirmed_at = max(self._confirmed_at or confirmed_at, confirmed_at)

    def _is_useful(self, snapshot: Snapshot) -> bool:
        """Return whether to adopt the state of a peer.

        A host with a gap in the log also adopts a state of the same version, for
        the offset up to which it is complete.
        """
        if self._fold.complete:
            return snapshot.version > self.version
        return snapshot.version >= self.version

    def _send_offer(
        self, now: float, sender: str, newer_than: int, outputs: list[Output]
    ) -> None:
        if sender not in self._peers or not self.version:
            return
        age_s = self.age(now)
        offer = ConfigurationOffer(
            self.version, _UNCONFIRMED_AGE_S if age_s is None else age_s
        )
        if self.version > newer_than:
            offer = offer._replace(
                snapshot=encode_record(self._snapshot),
                snapshot_time=self._fold.snapshot_time or 0.0,
            )
        outputs.append(ToPeer(sender, offer))

    def _ask_if_newer(self, peer: str, version: int, outputs: list[Output]) -> None:
        if version > self.version and peer in self._peers:
            outputs.append(ToPeer(peer, ConfigurationRequest(self.version)))

    def _ask_peers(self, offset: int, reason: str, outputs: list[Output]) -> None:
        """Ask a few random peers for their configuration, since the log gave none."""
        count = min(_PEERS_ASKED, len(self._peers))
        asked = tuple(self._random.sample(self._peers, count))
        outputs.append(LogUnreadable(offset, reason, asked))
        # After a gap, a state of the same version helps too: its offset in the log
        # lets this host continue.
        newer_than = self.version if self._fold.complete else max(0, self.version - 1)
        request = ConfigurationRequest(newer_than)
        outputs.extend(ToPeer(peer, request) for peer in asked)

    def _poll_delay(self) -> float:
        """Return the delay before the next poll, with random jitter.

        It grows with the number of hosts up to 8, so that a smaller fleet together
        polls as often as a fleet of 8.
        """
        mean_s = min(_POLL_S_PER_HOST * (1 + len(self._peers)), _MAX_POLL_S)
        if not self.version:
            mean_s = _UNREADY_POLL_S
        jitter = self._random.uniform(1 - _POLL_JITTER, 1 + _POLL_JITTER)
        return mean_s * jitter
