"""Operators publish concurrently while the log loses answers and appends."""

import curio
import pytest

from poplarhill import ErrorKind
from poplarhill.configuration import Accepted, Change, Publisher, Rejection
from poplarhill.exceptions import PoplarhillError
from poplarhill.platform import HttpPlatform
from poplarhill_dev.platform import Faults, PlatformStandIn

_ROUNDS = 100
_TIMEOUT_S = 30.0

FAULTS = {
    "answers lost": Faults(lose_answers=True, fraction=0.5),
    "appends lost": Faults(lose_appends=True, fraction=0.5),
    "appends late": Faults(late_append_s=0.06, fraction=0.5),
}


def change(name: str, version: int) -> Change:
    patch = {"customers": {name: {"weight": version + 1}}}
    return Change(f"{name}-{version}", version, name, "a race", patch)


def run_with_platform(faults: Faults, scenario) -> object:
    """Run a scenario with the address of a stand-in."""

    async def main() -> object:
        stand_in = PlatformStandIn("127.0.0.1", 0)
        stand_in.faults = faults
        serving = await curio.spawn(stand_in.run)
        try:
            return await scenario(stand_in)
        finally:
            await serving.cancel()

    return curio.run(main)


async def publisher_at(stand_in: PlatformStandIn) -> Publisher:
    publisher = Publisher(HttpPlatform("127.0.0.1", stand_in.port, _TIMEOUT_S))
    await publisher.read()
    return publisher


@pytest.mark.parametrize("name", FAULTS)
def test_each_of_a_hundred_races_has_one_winner_that_every_outcome_names(
    name: str,
) -> None:
    async def race(stand_in: PlatformStandIn) -> tuple[dict, list]:
        operators = {who: await publisher_at(stand_in) for who in ("ada", "ben")}
        outcomes_by_version = {}
        for version in range(_ROUNDS):
            tasks = [
                await curio.spawn(operator.publish, change(who, version), _TIMEOUT_S)
                for who, operator in operators.items()
            ]
            outcomes_by_version[version] = [await task.join() for task in tasks]
        await curio.sleep(3 * FAULTS[name].late_append_s)
        return outcomes_by_version, (await publisher_at(stand_in)).history

    outcomes_by_version, history = run_with_platform(FAULTS[name], race)
    accepted = [d.outcome for d in history if isinstance(d.outcome, Accepted)]
    assert [outcome.version for outcome in accepted] == list(range(1, _ROUNDS + 1))
    for version, outcomes in outcomes_by_version.items():
        [won] = [outcome for outcome in outcomes if isinstance(outcome, Accepted)]
        [lost] = [outcome for outcome in outcomes if isinstance(outcome, Rejection)]
        assert won == accepted[version]
        assert lost.winner == won.change_id


def test_a_change_whose_answer_is_lost_while_the_log_is_down_times_out() -> None:
    async def publish(stand_in: PlatformStandIn) -> ErrorKind:
        publisher = await publisher_at(stand_in)
        stand_in.faults = Faults(down=True)
        with pytest.raises(PoplarhillError) as raised:
            await publisher.publish(change("ada", 0), 0.2)
        return raised.value.failure.kind

    assert run_with_platform(Faults(), publish) is ErrorKind.TIMEOUT


def test_a_change_that_fails_its_checks_is_rejected_with_the_reason() -> None:
    async def publish(stand_in: PlatformStandIn) -> Accepted | Rejection:
        bad = Change("x", 0, "ada", "a test", {"unknown_key": 1})
        return await (await publisher_at(stand_in)).publish(bad, _TIMEOUT_S)

    outcome = run_with_platform(Faults(), publish)
    assert isinstance(outcome, Rejection)
    assert "unknown_key" in outcome.detail
