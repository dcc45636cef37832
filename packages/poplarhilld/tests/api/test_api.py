"""The HTTP API over real sockets, with a scripted dispatcher."""

import curio
import msgspec
import pytest

from poplarhill import ErrorKind
from poplarhill.exceptions import Failure
from poplarhill.http import HttpServer, Request, fetch
from poplarhilld.api import Api
from poplarhilld.jobs import Completed

HOST = "127.0.0.1"
NOW = 100.0
JOBS = "/v1/services/booking/jobs"


class Served:
    """Serves the API; a job with the task `wait` runs until it is cancelled."""

    def __init__(self) -> None:
        api = Api(self.submit, self.cancel, lambda: True, dict, bytes, lambda: NOW)
        self.server = HttpServer(HOST, 0, api.handle)
        self.specs: dict = {}
        self.outcomes: dict[str, curio.Queue] = {}
        self.cancelled: list[str] = []

    async def submit(self, spec):
        """Complete a job at once, or wait for the outcome of a job that waits."""
        self.specs[spec.job_id] = spec
        self.outcomes[spec.job_id] = curio.Queue()
        if spec.tasks[0] != b"wait":
            return Completed(spec.tasks)
        return await self.outcomes[spec.job_id].get()

    async def cancel(self, job_id: str) -> bool:
        """Record the cancellation and end the job."""
        self.cancelled.append(job_id)
        await self.outcomes[job_id].put(Failure(ErrorKind.STOPPED, "stopped"))
        return True

    async def request(self, method: str, path: str, body=b"", **headers):
        """Send one request; return the status and the decoded body."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        request = Request(method, path, "", names, body)
        response = await fetch(HOST, self.server.port, request, 10.0)
        return response.status, msgspec.json.decode(response.body)


@pytest.fixture
def run_served():
    def run(body):
        async def main():
            served = Served()
            serving = await curio.spawn(served.server.run, daemon=True)
            try:
                return await curio.timeout_after(20, body, served)
            finally:
                await serving.cancel()

        return curio.run(main)

    return run


def tasks(count: int, more: bytes = b"") -> bytes:
    bodies = ",".join('"x"' for _ in range(count)).encode()
    return b'{"tasks":[' + bodies + b"]" + more + b"}"


BAD_BODIES = [
    b"",
    b"{",
    b"[]",
    b"\xff\xfe",
    b'{"tasks":"x"}',
    b'{"tasks":[1]}',
    b'{"tasks":["\\ud800"]}',
    b'{"tasks":[' + b"[" * 100_000,
    b"[" * 100_000,
    tasks(0),
    tasks(161),
    tasks(1, b',"unknown":1'),
    tasks(1, b',"timeout_s":NaN'),
    tasks(1, b',"timeout_s":Infinity'),
    tasks(1, b',"timeout_s":1e999'),
    tasks(1, b',"timeout_s":"1"'),
    tasks(1, b',"timeout_s":3601'),
    tasks(1, b',"cores":-1'),
    tasks(1, b',"cores":1e999'),
    tasks(1, b',"memory_mb":1.5'),
    tasks(1, b',"memory_mb":null'),
    tasks(1, b',"run_time_s":-1'),
    tasks(1, b',"idempotent":"no"'),
    tasks(1, b',"customer":""'),
    tasks(1, b',"customer":"a b"'),
]


@pytest.mark.parametrize("body", BAD_BODIES, ids=lambda body: body[-24:])
def test_a_bad_body_is_refused_with_a_detail(run_served, body) -> None:
    async def post(served):
        refused = await served.request("POST", JOBS, body)
        valid = await served.request("POST", JOBS, tasks(1))
        return refused, valid

    (status, answer), (after, _) = run_served(post)
    assert status == 400
    assert answer["state"] == "failed"
    assert answer["error"]["kind"] == "bad_request"
    assert answer["error"]["run_state"] == "not_run"
    assert answer["error"]["detail"]
    assert after == 200


@pytest.mark.parametrize(
    "headers",
    [{"idempotency_key": ""}, {"idempotency_key": "k" * 201}, {"job_id": "a b"}],
)
def test_a_bad_header_is_refused(run_served, headers) -> None:
    async def post(served):
        return await served.request("POST", JOBS, tasks(1), **headers)

    status, answer = run_served(post)
    assert status == 400
    assert answer["error"]["kind"] == "bad_request"


def test_a_deadline_in_the_past_is_passed_to_the_dispatcher(run_served) -> None:
    async def post(served):
        await served.request("POST", JOBS, tasks(1, b',"timeout_s":-5'))
        return served.specs

    [spec] = run_served(post).values()
    assert spec.deadline < NOW


@pytest.mark.parametrize("named", [True, False])
def test_a_job_is_cancelled_by_its_own_or_the_requested_id(run_served, named) -> None:
    async def body(served):
        headers = {"job_id": "mine"} if named else {}
        wait = b'{"tasks":["wait"]}'
        posting = await curio.spawn(
            lambda: served.request("POST", JOBS, wait, **headers)
        )
        while not served.specs:
            await curio.sleep(0.01)
        [job_id] = served.specs
        name = "mine" if named else job_id
        deleted = await served.request("DELETE", f"/v1/jobs/{name}")
        answered = await posting.join()
        again = await served.request("DELETE", f"/v1/jobs/{name}")
        return job_id, served.cancelled, deleted, answered, again

    job_id, cancelled, deleted, answered, again = run_served(body)
    assert cancelled == [job_id]
    assert deleted == (202, {"job_id": job_id})
    assert answered[1]["error"]["kind"] == "stopped"
    assert again[1]["error"]["kind"] == "unknown_job"


def test_a_job_id_in_use_is_refused(run_served) -> None:
    async def body(served):
        wait = b'{"tasks":["wait"]}'
        posting = await curio.spawn(
            lambda: served.request("POST", JOBS, wait, job_id="mine")
        )
        while not served.specs:
            await curio.sleep(0.01)
        second = await served.request("POST", JOBS, tasks(1), job_id="mine")
        await served.request("DELETE", "/v1/jobs/mine")
        await posting.join()
        third = await served.request("POST", JOBS, tasks(1), job_id="mine")
        return second, third

    second, third = run_served(body)
    assert second[1]["error"]["kind"] == "conflict"
    assert third[0] == 200


@pytest.mark.parametrize("path", ["/", "/v1/jobs", "/v1/services//x", "//"])
def test_an_unknown_path_is_refused(run_served, path) -> None:
    async def body(served):
        return await served.request("POST", path, tasks(1))

    status, answer = run_served(body)
    assert status == 404
    assert answer["error"]["kind"] == "unknown_path"
