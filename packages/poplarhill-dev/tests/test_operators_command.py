"""The operators' command against a platform stand-in."""

import json
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import curio
import pytest
from click.testing import CliRunner, Result

from poplarhill.cli import main
from poplarhill.exceptions import ANSWERS, ErrorKind
from poplarhill_dev.platform import Faults, PlatformStandIn

Run = Callable[..., Result]

DOCUMENT = {
    "services": {
        "booking": {"workers": {"w1": {"host": "10.0.0.1", "port": 80, "rack": "r1"}}}
    }
}


@pytest.fixture
def stand_in() -> Iterator[PlatformStandIn]:
    stop = curio.UniversalEvent()
    started = threading.Event()
    stand_ins = []

    async def serve() -> None:
        stand_ins.append(PlatformStandIn("127.0.0.1", 0))
        serving = await curio.spawn(stand_ins[0].run)
        started.set()
        await stop.wait()
        await serving.cancel()

    thread = threading.Thread(target=curio.run, args=(serve,))
    thread.start()
    started.wait()
    yield stand_ins[0]
    stop.set()
    thread.join()


@pytest.fixture
def run(stand_in: PlatformStandIn) -> Run:
    environment = {"POPLARHILL_PLATFORM": f"127.0.0.1:{stand_in.port}", "USER": "ada"}

    def run_command(*arguments: str) -> Result:
        return CliRunner().invoke(main, arguments, env=environment)

    return run_command


@pytest.fixture
def path(tmp_path: Path) -> Path:
    path = tmp_path / "configuration.json"
    path.write_text(json.dumps(DOCUMENT))
    return path


@pytest.fixture
def published(run: Run, path: Path) -> Run:
    result = run("config", "publish", str(path), "--note", "first")
    assert result.output.startswith("accepted as version 1")
    return run


def code(kind: ErrorKind) -> int:
    return ANSWERS[kind].exit_code


def test_show_prints_what_was_published(published: Run) -> None:
    result = published("config", "show")
    assert json.loads(result.stdout) == DOCUMENT
    assert result.stderr == "version 1\n"


def test_a_document_made_from_an_older_version_is_refused(
    published: Run, path: Path
) -> None:
    published("worker", "drain", "w1", "--reason", "a noisy fan")
    result = published("config", "publish", str(path), "--note", "n", "--base", "1")
    assert result.exit_code == code(ErrorKind.CONFLICT)
    assert "made from version 1, now 2" in result.stderr
    forgotten = published("config", "publish", str(path), "--note", "n")
    assert forgotten.exit_code == code(ErrorKind.BAD_REQUEST)
    assert "--base" in forgotten.stderr


def test_a_drain_is_stored_as_an_exception_with_its_reason(published: Run) -> None:
    assert published("worker", "drain", "w1", "--reason", "a noisy fan").exit_code == 0
    document = json.loads(published("config", "show").stdout)
    exception = document["exceptions"]["drain-w1"]
    assert (exception["reason"], exception["set"]) == (
        "a noisy fan",
        {"draining": True},
    )
    assert "w1 booking 10.0.0.1:80 -/r1 draining" in published("worker", "list").output
    assert "0 workers with 0 slots, 1 draining" in published("service", "list").output
    published("worker", "undrain", "w1")
    assert "in service" in published("worker", "list").output


def test_history_shows_the_outcome_of_each_change(published: Run) -> None:
    published("worker", "drain", "w1", "--reason", "a noisy fan")
    first, second = published("config", "history").output.splitlines()
    assert "version 1" in first and first.endswith("ada first")
    assert "version 2" in second and second.endswith("ada drain w1: a noisy fan")


def test_diff_shows_what_would_change(published: Run, path: Path) -> None:
    path.write_text(json.dumps({**DOCUMENT, "customers": {"kelani": {}}}))
    assert '+    "kelani": {}' in published("config", "diff", str(path)).output


@pytest.mark.parametrize(
    ("arguments", "kind", "message"),
    [
        (("config", "check", "no-such-file"), ErrorKind.BAD_REQUEST, "no-such-file"),
        (("worker", "drain", "w9", "--reason", "r"), ErrorKind.BAD_REQUEST, "'w9'"),
        (("worker", "drain", "w1", "--reason", " "), ErrorKind.BAD_REQUEST, "/reason"),
        (("worker", "undrain", "w1"), ErrorKind.BAD_REQUEST, "drain-w1"),
        (("service", "show", "x"), ErrorKind.UNKNOWN_SERVICE, "'x'"),
        (("status", "--host", "127.0.0.1:1"), ErrorKind.NOT_READY, "cannot connect"),
        (("job", "cancel", "j", "--host", "127.0.0.1:1"), ErrorKind.NOT_READY, ""),
    ],
)
def test_each_error_is_one_line_with_its_exit_code(
    published: Run, arguments: tuple[str, ...], kind: ErrorKind, message: str
) -> None:
    result = published(*arguments)
    assert result.exit_code == code(kind)
    [line] = result.stderr.splitlines()
    assert line.startswith(f"Error: {kind.value}: ") and message in line


def test_a_platform_that_is_down_is_reported_in_one_line(
    run: Run, stand_in: PlatformStandIn
) -> None:
    stand_in.faults = Faults(down=True)
    result = run("config", "show")
    assert result.exit_code == code(ErrorKind.PLATFORM_UNAVAILABLE)
    assert result.stderr.count("\n") == 1


def test_an_evacuation_is_published_with_a_note_and_lifted(
    published: Run, path: Path
) -> None:
    workers = {"w2": {"host": "10.0.0.2", "port": 80, "data_centre": "dc1"}}
    document = {"services": {"booking": {"workers": workers}}}
    assert published("evacuation", "start", "dc1", "--note", "a fire").exit_code
    path.write_text(json.dumps(document))
    publish = ("config", "publish", str(path), "--base", "1")
    assert not published(*publish, "--note", "a second data centre").exit_code
    assert not published("evacuation", "start", "dc1", "--note", "a fire").exit_code
    assert published("evacuation", "list").output == "dc1 a fire\n"
    assert published("worker", "list").output.endswith("evacuated\n")
    assert published("evacuation", "start", "dc1", "--note", "again").exit_code
    assert not published("evacuation", "lift", "dc1", "--note", "put out").exit_code
    assert published("evacuation", "list").output == ""
    assert json.loads(published("config", "show").stdout)["services"]
    assert "lift evacuation of dc1: put out" in published("config", "history").output
    assert published("evacuation", "lift", "dc1", "--note", "again").exit_code


WARNED = {**DOCUMENT, "customers": {"ada": {"quota_tasks": 8}}}
PUBLISH = ("--note", "a small quota", "--base", "1")


@pytest.mark.parametrize(
    ("text", "exit_code", "last"),
    [
        (json.dumps(DOCUMENT), 0, "good, 1 workers"),
        (json.dumps(WARNED), 1, "0 errors, 1 warning"),
        ('{"services": []}', 2, "1 error, 0 warnings"),
        ("[", 2, "1 error, 0 warnings"),
    ],
)
def test_check_works_without_a_platform_and_exits_by_the_worst_finding(
    path: Path, text: str, exit_code: int, last: str
) -> None:
    path.write_text(text)
    result = CliRunner().invoke(main, ["config", "check", str(path)])
    assert result.exit_code == exit_code
    assert result.stdout.splitlines()[-1] == f"{path}: {last}"
    assert "\x1b" not in result.stdout and not result.stderr
    result = CliRunner().invoke(main, ["config", "check", str(path), "--format=json"])
    assert result.exit_code == exit_code
    report = json.loads(result.stdout)
    found = report["errors"] + report["warnings"]
    assert len(report["findings"]) == found == (exit_code > 0)


def test_check_reports_a_missing_file_to_machines_as_a_finding(run: Run) -> None:
    result = run("config", "check", "no-such-file", "--format", "json")
    assert result.exit_code == code(ErrorKind.BAD_REQUEST)
    [finding] = json.loads(result.stdout)["findings"]
    assert (finding["severity"], finding["line"]) == ("error", None)
    assert "cannot be read" in finding["message"]


def test_check_compares_with_a_file_or_with_the_version_in_force(
    published: Run, stand_in: PlatformStandIn, path: Path, tmp_path: Path
) -> None:
    old = tmp_path / "old.json"
    old.write_text(json.dumps(DOCUMENT))
    path.write_text(json.dumps(WARNED, indent=1))
    check = ("config", "check", str(path))
    address = f"127.0.0.1:{stand_in.port}"
    by_file = published(*check, "--against", str(old), "--format", "json")
    by_platform = published(*check, "--platform", address, "--format", "json")
    assert by_file.stdout == by_platform.stdout
    assert (by_file.exit_code, by_platform.exit_code) == (1, 1)
    difference = json.loads(by_file.stdout)["findings"][-1]
    assert difference == {
        "severity": "difference",
        "path": "/customers/ada",
        "line": 14,
        "message": "the customer 'ada' is added; affects jobs of the customer 'ada'",
        "change": "added",
        "old": None,
        "new": {"quota_tasks": 8},
        "affects": "jobs of the customer 'ada'",
    }
    both = published(*check, "--against", str(old), "--platform", address)
    assert both.exit_code == 2 and "not both" in both.stderr


def test_a_platform_that_is_down_fails_the_comparison(
    run: Run, stand_in: PlatformStandIn, path: Path
) -> None:
    stand_in.faults = Faults(down=True)
    address = f"127.0.0.1:{stand_in.port}"
    result = run("config", "check", str(path), "--platform", address)
    assert result.exit_code == code(ErrorKind.PLATFORM_UNAVAILABLE)
    assert result.stderr.count("\n") == 1
    path.write_text('{"services": []}')
    result = run("config", "check", str(path), "--platform", address)
    assert result.exit_code == 2 and "/services" in result.stdout


def test_publish_refuses_errors_even_with_force(published: Run, path: Path) -> None:
    path.write_text('{"customers": {"ada": {}, "ada": {"quota_tasks": 0}}}')
    for force in ((), ("--force",)):
        result = published("config", "publish", str(path), *PUBLISH, *force)
        assert result.exit_code == code(ErrorKind.BAD_REQUEST)
        assert result.stderr.count(": error: ") == 2
        assert "it is not published" in result.stderr.splitlines()[-1]
    assert published("config", "show").stderr == "version 1\n"


def test_publish_takes_warnings_only_with_force_and_a_note(
    published: Run, path: Path
) -> None:
    path.write_text(json.dumps(WARNED))
    publish = ("config", "publish", str(path), "--base", "1")
    refused = published(*publish, "--note", "a small quota")
    assert refused.exit_code == code(ErrorKind.BAD_REQUEST)
    assert "use --force and say why in --note" in refused.stderr
    assert published(*publish, "--force").exit_code == 2
    blank = published(*publish, "--force", "--note", " ")
    assert blank.exit_code == 2 and "the note is empty" in blank.stderr
    assert published("config", "show").stderr == "version 1\n"
    forced = published(*publish, "--force", "--note", "a small quota")
    assert forced.stdout.startswith("accepted as version 2")
    assert ": warning: /customers/ada/quota_tasks: " in forced.stderr
