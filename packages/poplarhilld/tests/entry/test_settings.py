"""Settings of an entry host: each error names the path of the invalid value."""

import pytest

from poplarhill import SettingsError
from poplarhill.types import Address
from poplarhilld.entry import EntrySettings


@pytest.fixture
def value() -> dict:
    return {
        "name": "h1",
        "data_centre": "dc1",
        "callers": "10.0.0.1:8080",
        "readiness": "10.0.0.1:8081",
        "peers": "10.0.0.1:8082",
        "metrics": "10.0.0.1:8083",
        "store": "10.9.0.1:9000",
        "seeds": "10.0.0.2:8082,10.0.0.3:8082",
        "cores": 0.5,
        "core_speed": 2,
        "lease_ms": 1000,
    }


def test_valid_settings_are_accepted(value: dict) -> None:
    settings = EntrySettings.from_config(value)
    assert settings.callers == Address("10.0.0.1", 8080)
    assert len(settings.seeds) == 2
    assert settings.cores == 1.0
    assert settings.lease_s == 1.0


@pytest.mark.parametrize(
    ("field", "wrong"),
    [
        ("callers", "10.0.0.1"),
        ("callers", "host:80"),
        ("peers", "10.0.0.256:80"),
        ("store", "10.0.0.1:0"),
        ("seeds", "10.0.0.1:80,nowhere"),
        ("lease_ms", 10),
        ("lease_ms", "long"),
        ("memory_mb", 63),
        ("descriptors", -1),
        ("cores", 0),
        ("grace_s", -1),
        ("lookahead", "sometimes"),
        ("name", 7),
        ("colour", "red"),
    ],
)
def test_each_problem_names_its_field(value: dict, field: str, wrong: object) -> None:
    value[field] = wrong
    with pytest.raises(SettingsError) as caught:
        EntrySettings.from_config(value)
    assert field in str(caught.value)


# Guards against hosts that advertise their listening address although peers reach
# them only through a relay.
def test_the_advertised_address_may_differ_from_the_listening_one(value: dict) -> None:
    assert EntrySettings.from_config(value).advertise is None
    value["advertise"] = "10.0.0.9:7000"
    assert EntrySettings.from_config(value).advertise == Address("10.0.0.9", 7000)
    value["advertise"] = "somewhere"
    with pytest.raises(SettingsError, match="advertise"):
        EntrySettings.from_config(value)


# The template gives an empty text on deployments whose settings have no slowdown.
@pytest.mark.parametrize(("given", "expected"), [("", 1.0), ("1.5", 1.5), (2, 2.0)])
def test_the_remote_slowdown_may_be_absent(
    value: dict, given: object, expected: float
) -> None:
    assert EntrySettings.from_config(value).remote_slowdown == 1.0
    value["remote_slowdown"] = given
    assert EntrySettings.from_config(value).remote_slowdown == expected


@pytest.mark.parametrize("wrong", ["0.5", 0, "fast", "nan", "inf"])
def test_an_invalid_remote_slowdown_is_refused(value: dict, wrong: object) -> None:
    value["remote_slowdown"] = wrong
    with pytest.raises(SettingsError, match="remote_slowdown"):
        EntrySettings.from_config(value)


# The template gives an empty text on deployments that do not tell the delay.
@pytest.mark.parametrize(("given", "expected"), [("", 1.3), ("900", 0.9), (2000, 2.0)])
def test_the_resend_delay_may_be_absent(
    value: dict, given: object, expected: float
) -> None:
    assert EntrySettings.from_config(value).resend_delay_s == 1.3
    value["resend_ms"] = given
    assert EntrySettings.from_config(value).resend_delay_s == expected


@pytest.mark.parametrize("wrong", ["0", 499, "soon", "nan", "inf"])
def test_an_invalid_resend_delay_is_refused(value: dict, wrong: object) -> None:
    value["resend_ms"] = wrong
    with pytest.raises(SettingsError, match="resend_ms"):
        EntrySettings.from_config(value)


# Guards against a template that fills in a fraction of a megabyte: the process would
# not start.
def test_the_bounds_on_clients_follow_from_the_machine(value: dict) -> None:
    small = EntrySettings.from_config({**value, "memory_mb": 160.5}).machine
    large = EntrySettings.from_config({**value, "memory_mb": 552}).machine
    few = EntrySettings.from_config({**value, "descriptors": 200}).machine
    assert small.budget_bytes < large.budget_bytes < 552_000_000
    assert small.caller_connections < large.caller_connections
    assert few.caller_connections + few.peer_connections < 200 - 40
