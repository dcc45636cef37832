"""Opens TCP connections without a thread to resolve numeric addresses."""

import socket

import curio


async def connect_from(source: str | None, host: str, port: int) -> curio.io.Socket:
    """Connect over TCP, from a local IP address if one is given.

    curio resolves each address in a worker thread. A host that starts connects to all
    others at once, and the threads took more processor time than the connections.

    Raises:
        OSError: The connection was not established.
    """
    try:
        found = socket.getaddrinfo(
            host, port, type=socket.SOCK_STREAM, flags=socket.AI_NUMERICHOST
        )
    except socket.gaierror:  # a name
        source_address = (source, 0) if source is not None else None
        return await curio.open_connection(host, port, source_addr=source_address)
    family, kind, protocol, _, address = found[0]
    sock = curio.io.Socket(socket.socket(family, kind, protocol))
    try:
        if source is not None:
            sock.bind((source, 0))
        await sock.connect(address)
    except BaseException:
        await sock.close()
        raise
    return sock
