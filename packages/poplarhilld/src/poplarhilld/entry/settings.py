"""Settings of an entry host behind the platform adapter, with leased workers."""

import math
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from poplarhill.decoding import (
    Cores,
    Descriptors,
    Duration,
    DurationMs,
    Factor,
    InvalidDataError,
    Megabytes,
    convert_json,
    decode_json,
)
from poplarhill.exceptions import SettingsError
from poplarhill.machine import DEFAULT_MEMORY_MB, MIN_MEMORY_MB, MachineLimits
from poplarhill.types import Address
from poplarhilld.locality import OFF
from poplarhilld.lookahead import LookaheadMode
from poplarhilld.peers.offer_limits import RESEND_DELAY_S

_MS = 1000
_SHORTEST_LEASE_S = 0.6  # a renewal takes up to 0.4 s
_LONGEST_LEASE_S = 60.0  # a longer one would leave a lost worker unused for too long
_SHORTEST_RESEND_DELAY_S = 0.5  # offers have to be repeated, and runs to be stopped


class _File(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    data_centre: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str
    advertise: str = ""
    seeds: str = ""
    cores: Cores = 1.0
    core_speed: Factor = 1.0
    lease_ms: DurationMs = 1000.0
    grace_s: Duration = 6.0
    lookahead: LookaheadMode = LookaheadMode.AUTO
    remote_slowdown: float | str = ""
    resend_ms: float | str = ""
    memory_mb: Megabytes = DEFAULT_MEMORY_MB
    descriptors: Descriptors = 0


class EntrySettings(NamedTuple):
    """Settings of an entry host.

    Attributes:
        name: Name of this host, unique in the fleet.
        data_centre: Data centre of this host.
        callers: Address that serves callers.
        readiness: Address that serves the balancer's readiness checks.
        peers: Address that serves other entry hosts.
        metrics: Address that serves the metrics.
        store: Address of the platform's store.
        advertise: Address that peers are told to connect to; `peers` if not given.
        seeds: Addresses at which other entry hosts may be found at start.
        cores: CPU capacity of this host: its count of cores times their speed; 1 is
            the usual speed.
        lease_s: Longest lease that a worker grants, s.
        grace_s: Time from SIGTERM until the process is killed, s.
        lookahead: When placement considers what is waiting and what ends soon.
        remote_slowdown: Factor on the run time of a task outside the rack of its data;
            1 if the deployment gives none.
        resend_delay_s: Shortest time after which callers send a job again that got no
            answer, s.
        memory_mb: Memory that this process may use, MB.
        descriptors: File descriptors that it may use, if fewer than the system allows;
            0 if not given.
    """

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    store: Address
    advertise: Address | None = None
    seeds: tuple[Address, ...] = ()
    cores: float = 1.0
    lease_s: float = 1.0
    grace_s: float = 6.0
    lookahead: LookaheadMode = LookaheadMode.AUTO
    remote_slowdown: float = OFF
    resend_delay_s: float = RESEND_DELAY_S
    memory_mb: float = DEFAULT_MEMORY_MB
    descriptors: int = 0

    @property
    def machine(self) -> MachineLimits:
        """Bounds on what this process holds for its clients."""
        return MachineLimits.from_machine(self.memory_mb, self.descriptors or None)

    @classmethod
    def from_config(cls, value: Any) -> "EntrySettings":
        """Check a decoded JSON value and return the settings.

        Raises:
            SettingsError: A value is invalid; the message names its path.
        """
        try:
            fields = convert_json(value, _File)
        except InvalidDataError as error:
            raise SettingsError((str(error),)) from error
        problems = []
        addresses: dict[str, Address] = {}
        for name in ("callers", "readiness", "peers", "metrics", "store", "advertise"):
            if name == "advertise" and not fields.advertise:
                continue
            try:
                addresses[name] = Address.from_text(getattr(fields, name))
            except ValueError as error:
                problems.append(f"$.{name}: {error}")
        seeds = []
        for text in filter(None, fields.seeds.split(",")):
            try:
                seeds.append(Address.from_text(text))
            except ValueError as error:
                problems.append(f"$.seeds: {error}")
        lease_s = fields.lease_ms / _MS
        if not _SHORTEST_LEASE_S <= lease_s <= _LONGEST_LEASE_S:
            bounds = f"{_SHORTEST_LEASE_S * _MS:g} to {_LONGEST_LEASE_S * _MS:g}"
            problems.append(f"$.lease_ms: not within {bounds}")
        for name in ("cores", "core_speed", "grace_s"):
            if not getattr(fields, name) > 0:
                problems.append(f"$.{name}: not above 0")
        remote_slowdown = _number(fields.remote_slowdown, OFF)
        if not OFF <= remote_slowdown < math.inf:
            problems.append("$.remote_slowdown: neither empty nor a number from 1")
        resend_delay_s = _number(fields.resend_ms, RESEND_DELAY_S * _MS) / _MS
        if not _SHORTEST_RESEND_DELAY_S <= resend_delay_s < math.inf:
            least_ms = _SHORTEST_RESEND_DELAY_S * _MS
            problems.append(f"$.resend_ms: neither empty nor {least_ms:g} or more")
        if fields.memory_mb < MIN_MEMORY_MB:
            problems.append(f"$.memory_mb: below {MIN_MEMORY_MB}")
        if problems:
            raise SettingsError(tuple(problems))
        return cls(
            name=fields.name,
            data_centre=fields.data_centre,
            seeds=tuple(seeds),
            cores=fields.cores * fields.core_speed,
            lease_s=lease_s,
            grace_s=fields.grace_s,
            lookahead=fields.lookahead,
            remote_slowdown=remote_slowdown,
            resend_delay_s=resend_delay_s,
            memory_mb=fields.memory_mb,
            descriptors=fields.descriptors,
            **addresses,
        )

    @classmethod
    def from_file(cls, path: Path) -> "EntrySettings":
        """Read and check a settings file.

        Raises:
            SettingsError: The file cannot be read or does not pass its checks.
        """
        try:
            value = decode_json(path.read_bytes())
        except (OSError, InvalidDataError) as error:
            raise SettingsError((f"{path}: {error}",)) from error
        return cls.from_config(value)


def _number(value: float | str, default: float) -> float:
    """Return an optional number in a settings file; not a number if it is invalid.

    The template puts it in quotes, since it is an empty text on deployments without it.
    """
    if value == "":
        return default
    try:
        return float(value)
    except ValueError:
        return math.nan
