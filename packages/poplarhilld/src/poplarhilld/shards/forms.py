"""The forms of a heartbeat for receivers that need to know different things."""

from collections.abc import Mapping, Sequence

from poplarhilld.peers.messages import Beat, LeaderDigest
from poplarhilld.shards.intervals import Relation
from poplarhilld.shards.peer import Peer


class HeartbeatForms:
    """The forms of a heartbeat, by what its receivers need to know.

    Nearby hosts get the names of the nearby hosts, and those that lead nothing also
    what is reported of leaders. Other hosts get the names of the hosts in their data
    centre. A form that equals one of the last time is the same object, because each
    object is encoded only once.

    Args:
        heartbeat: The heartbeat without names of hosts.
        recent: The hosts whose heartbeats are received.
        leaders: What is reported of the leaders.
        last: Forms that were built the last time.
    """

    def __init__(
        self,
        heartbeat: Beat,
        recent: Sequence[Peer],
        leaders: tuple[LeaderDigest, ...],
        last: Mapping[tuple[str, bool], Beat],
    ) -> None:
        self._heartbeat = heartbeat
        self._recent = recent
        self._leaders = leaders
        self._last = last
        self.built: dict[tuple[str, bool], Beat] = {}

    def form(self, receiver: Peer | None, full: bool) -> Beat:
        """Return the heartbeat for a host, or for one that is not known.

        Args:
            receiver: The host, if it is known.
            full: Whether to list the addresses of all known hosts.
        """
        if receiver is None:
            key = "", full
        elif receiver.nearby:
            key = receiver.relation.name, full
        else:
            key = receiver.heartbeat.data_centre, full
        if key not in self.built:
            form = self._build(receiver, full)
            same = (one for one in (*self.built.values(), *self._last.values()))
            self.built[key] = next((one for one in same if one == form), form)
        return self.built[key]

    def _build(self, receiver: Peer | None, full: bool) -> Beat:
        heard: tuple[str, ...] = ()
        leaders: tuple[LeaderDigest, ...] = ()
        if receiver is not None and receiver.nearby:
            heard = tuple(peer.name for peer in self._recent if peer.nearby)
            if receiver.relation is not Relation.LEADERS:
                leaders = self._leaders
        elif receiver is not None:
            centre = receiver.heartbeat.data_centre
            heard = tuple(
                peer.name
                for peer in self._recent
                if peer.heartbeat.data_centre == centre
            )
        known = tuple(
            f"{peer.heartbeat.host}:{peer.heartbeat.port}"
            for peer in (self._recent if full else ())
        )
        return self._heartbeat._replace(
            heard=heard,
            known=known,
            leaders=leaders,
            nearby=receiver is not None and receiver.nearby,
        )
