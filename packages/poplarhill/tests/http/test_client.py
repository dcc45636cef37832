"""Client connections: what a call costs beside its exchange."""

import curio
import h11

from poplarhill.http import Connection, HttpServer, Limits, Request, json_response
from poplarhill.http.client import _request_head


# Once, the head of each call to a worker was built and checked anew, though it differs
# from the one before in nothing, and took a quarter of the time of the call.
def test_the_head_of_equal_requests_is_built_once() -> None:
    async def answer(request: Request) -> object:
        return json_response(200, {})

    async def main() -> int:
        _request_head.cache_clear()
        server = HttpServer("127.0.0.1", 0, answer)
        serving = await curio.spawn(server.run, daemon=True)
        connection = await Connection.open("127.0.0.1", server.port, Limits(), 5.0)
        for number in range(10):
            request = Request("POST", "/v1/hold", body=b'{"token":%d}' % number)
            assert (await connection.exchange(request)).status == 200
        await connection.close()
        await serving.cancel()
        return _request_head.cache_info().misses

    assert curio.run(main) == 1


# Guards against a head that is kept for another length, path or header.
def test_heads_of_different_requests_differ() -> None:
    heads = {
        bytes(h11.Connection(h11.CLIENT).send(_request_head(method, path, size, extra)))
        for method, path, size, extra in (
            ("POST", "/a", 1, ()),
            ("POST", "/a", 2, ()),
            ("POST", "/b", 1, ()),
            ("GET", "/a", 1, ()),
            ("POST", "/a", 1, (("expect-instance", "w1"),)),
            ("POST", "/a", 1, (("expect-instance", "w2"),)),
        )
    }
    assert len(heads) == 6
