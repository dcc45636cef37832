"""What other writers leave in the store costs only itself."""

from collections.abc import Callable

import curio
import msgspec
import pytest
import structlog

from poplarhill.types import Address, Resources
from poplarhill_dev.leased import worker_entry
from poplarhill_dev.loopback import free_port
from poplarhill_platform import StoreDirectory
from poplarhill_platform_dev import StandInStore, configuration, worker_record

SOUND = worker_record(worker_entry("w1"))
HOST = b'{"address":"127.0.0.1:7001"}'
MALFORMED = {
    "nested 5,000 deep": b'{"x":' + b"[" * 5_000 + b"]" * 5_000 + b"}",
    "nested 100,000 deep": b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "list": b"[]",
    "null": b"null",
    "not UTF-8": b"\xff\xfe",
    "not JSON": b"{",
    "no fields": b"{}",
}
ROUTES = configuration(1, ["/a/"], 1.5)["routes"]
ODD_CONFIGURATIONS = {
    **MALFORMED,
    **{
        f"{field} of {digits[:4]}, {len(digits)} digits": msgspec.json.encode(
            {**configuration(2, [], 1.5), "routes": [{**ROUTES[0], field: 424242}]}
        ).replace(b"424242", digits.encode())
        for field in ("timeout_ms", "slo_ms", "stretch", "priority", "max_attempts")
        for digits in ("9" * 5_000, "9" * 400, "9" * 30, "-" + "9" * 20, "true")
    },
    "version below 0": msgspec.json.encode(configuration(-1, ["/a/"], 1.5)),
    "version of 30 digits": msgspec.json.encode(
        configuration(424242, ["/a/"], 1.5)
    ).replace(b"424242", b"9" * 30),
}
ADDRESSES = {
    "port 0": "127.0.0.1:0",
    "port 99999": "127.0.0.1:99999",
    "port of 5,000 digits": "127.0.0.1:" + "9" * 5_000,
    "other digits": "127.0.0.1:٧٠٠١",
}


def with_number(name: str, digits: str) -> bytes:
    """Return the registration of a worker with another number in its capacity."""
    record = {**SOUND, "capacity": {**SOUND["capacity"], name: 424242}}
    return msgspec.json.encode(record).replace(b"424242", digits.encode())


ODD_WORKERS = {
    **{
        name: data.replace(b"{", msgspec.json.encode(SOUND)[:-1] + b",", 1)
        if name.startswith("nested")
        else data
        for name, data in MALFORMED.items()
    },
    **{
        name: msgspec.json.encode({**SOUND, "address": address})
        for name, address in ADDRESSES.items()
    },
    **{
        f"{field} of {digits[:4]}, {len(digits)} digits": with_number(field, digits)
        for field in ("cpu", "mem_mb", "gpu")
        for digits in ("9" * 5_000, "9" * 400, "9" * 30, "-1", "true", "1.5", "1e400")
    },
}


ODD_HOSTS = {
    **{
        name: data.replace(b"{", HOST[:-1] + b",", 1)
        if name.startswith("nested")
        else data
        for name, data in MALFORMED.items()
    },
    **{
        name: msgspec.json.encode({"address": address})
        for name, address in ADDRESSES.items()
    },
}


def named(values: dict) -> pytest.MarkDecorator:
    """Parametrize `data` by the values, with the keys as ids."""
    return pytest.mark.parametrize("data", list(values.values()), ids=list(values))


@pytest.fixture
def read() -> Callable:
    """Return a function that reads from a directory, as often as there are writes."""

    def read(
        method: str, *writes: Callable[[StandInStore], None], result: str = ""
    ) -> list:
        results = []

        async def main() -> None:
            store = StandInStore()
            address = Address("127.0.0.1", free_port())
            await curio.spawn(store.server(*address).run, daemon=True)
            await curio.sleep(0)
            directory = StoreDirectory(address, None)
            for write in writes:
                write(store)
                found = await getattr(directory, method)()
                results.append(getattr(directory, result) if result else found)

        curio.run(main)
        return results

    return read


# Guards against hosts that end again and again: the list of workers held an entry of
# another writer, which was nested too deeply or had a number of 400 digits.
@named(ODD_WORKERS)
def test_an_odd_worker_costs_only_itself_and_is_logged_once(read, data: bytes) -> None:
    def write(store: StandInStore) -> None:
        store.put_bytes("keyed.servers", "odd", data)
        store.put("keyed.servers", "w1", SOUND)

    with structlog.testing.capture_logs() as lines:
        for found in read("workers", write, write, write):
            assert list(found) == ["w1"]
    assert [line["event"] for line in lines] == ["WorkerEntryIgnored"]
    assert len(str(lines)) < 500


# Guards against placement with capacities that no frame between hosts can carry.
def test_capacities_at_the_bounds_survive(read) -> None:
    record = {**SOUND, "capacity": {"cpu": 0, "mem_mb": 2**31 - 1, "gpu": 65_535}}
    found = read("workers", lambda store: store.put("keyed.servers", "w1", record))
    assert found[0]["w1"].room == Resources(0.0, 2**31 - 1, 65_535)


# Guards against a host that ends, or follows no list, while another writer's entry
# stands in the list of hosts.
@named(ODD_HOSTS)
def test_an_odd_host_costs_only_itself_and_is_logged_once(read, data: bytes) -> None:
    def write(store: StandInStore) -> None:
        store.put_bytes("keyed.hosts", "odd", data)
        store.put_bytes("keyed.hosts", "h1", HOST)

    with structlog.testing.capture_logs() as lines:
        for found in read("hosts", write, write, write):
            assert found == (Address("127.0.0.1", 7001),)
    assert [line["event"] for line in lines] == ["HostEntryIgnored"]
    assert len(str(lines)) < 500


# Guards against hosts that end, or no longer follow the configuration and the
# evacuations, after one record `config` that cannot be decoded.
@named(ODD_CONFIGURATIONS)
def test_an_odd_configuration_leaves_the_last_one_in_force(read, data: bytes) -> None:
    def put(version: int) -> Callable[[StandInStore], None]:
        value = configuration(version, ["/a/"], 1.5)
        return lambda store: store.put("keyed.op", "config", value)

    def put_odd(store: StandInStore) -> None:
        store.put_bytes("keyed.op", "config", data)

    def evacuate(store: StandInStore) -> None:
        store.put("keyed.op", "evacuate/dc1", {})

    with structlog.testing.capture_logs() as lines:
        found = read("next_catalogue", put(1), put_odd, evacuate, put(5))
    assert [catalogue and catalogue.version for catalogue in found] == [
        1,
        None,
        None,
        5,
    ]
    assert [line["event"] for line in lines] == ["CatalogueIgnored"]
    assert len(str(lines)) < 500


# Guards against an evacuation of the workers that state no data centre.
def test_an_evacuation_without_a_name_is_ignored(read) -> None:
    def put(store: StandInStore) -> None:
        for key in ("evacuate/", "evacuate/dc1", "evacuate"):
            store.put("keyed.op", key, {})

    (evacuations,) = read("next_catalogue", put, result="evacuations")
    assert [one.data_centre for one in evacuations.in_force] == ["dc1"]
