"""Settings of one process, read from JSON and validated at start."""

from pathlib import Path
from typing import Any, NamedTuple

from poplarhill.decoding import decode_json
from poplarhill.exceptions import SettingsError
from poplarhill.machine import DEFAULT_MEMORY_MB, MIN_MEMORY_MB
from poplarhill.schema import check
from poplarhill.types import Address


class Settings(NamedTuple):
    """Settings of a daemon.

    Attributes:
        name: Name of this entry host, unique in the fleet.
        data_centre: Data centre of this entry host.
        listen: Address on which it accepts connections of callers.
        peer_listen: Address on which it accepts connections of other entry hosts.
        platform: Address of the platform's log service.
        peers: Addresses of the entry hosts known at start, by name; these hosts
            report the others.
        source: Own IP address to connect from; any if not given.
        advertise: Address that this host announces to its peers; `peer_listen` if
            not given.
        log_retention_s: Minimum time that the platform's log keeps records, s.
        memory_mb: Memory that this process may use, MB.
    """

    name: str
    data_centre: str
    listen: Address
    peer_listen: Address
    platform: Address
    peers: dict[str, Address]
    source: str | None = None
    advertise: Address | None = None
    log_retention_s: float = 3600.0
    memory_mb: int = DEFAULT_MEMORY_MB

    @classmethod
    def from_config(cls, value: Any) -> "Settings":
        """Validate a decoded JSON value and return the settings.

        Raises:
            SettingsError: The value is invalid; the error lists every problem with
                its path.
        """
        check(value, SCHEMA)
        fields = dict(value)
        for name in ("listen", "peer_listen", "platform", "advertise"):
            if name in fields:
                fields[name] = Address(**fields[name])
        peers = {name: Address(**peer) for name, peer in fields["peers"].items()}
        return cls(**{**fields, "peers": peers})

    @classmethod
    def from_file(cls, path: Path) -> "Settings":
        """Read and validate a settings file.

        Raises:
            SettingsError: The file cannot be read or is invalid.
        """
        try:
            value = decode_json(path.read_bytes())
        except (OSError, ValueError) as error:
            raise SettingsError((f"{path}: {error}",)) from error
        return cls.from_config(value)


_IP: dict[str, Any] = {
    "type": "string",
    "pattern": r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$",
}

_ADDRESS: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["host", "port"],
    "properties": {
        "host": _IP,
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    },
}

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "data_centre", "listen", "peer_listen", "platform", "peers"],
    "properties": {
        "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
        "data_centre": {"type": "string", "minLength": 1},
        "listen": _ADDRESS,
        "peer_listen": _ADDRESS,
        "platform": _ADDRESS,
        "peers": {"type": "object", "additionalProperties": _ADDRESS},
        "source": _IP,
        "advertise": _ADDRESS,
        "log_retention_s": {"type": "number", "exclusiveMinimum": 0},
        "memory_mb": {"type": "integer", "minimum": MIN_MEMORY_MB},
    },
}
