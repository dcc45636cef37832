"""Listening sockets whose connections buffer little in the system."""

import socket

import curio

# Unread data counts as memory of the machine, and a buffer of no set size grows to
# megabytes. The system doubles the value for its own bookkeeping.
_RECEIVE_BUFFER_BYTES = 16 * 1024


def listen(host: str, port: int, backlog: int) -> curio.io.Socket:
    """Return a socket that listens on an IP address and a TCP port.

    Args:
        host: IP address.
        port: TCP port; 0 selects any free port.
        backlog: Number of connections that may wait to be accepted.

    Raises:
        OSError: The address cannot be bound.
    """
    sock = curio.tcp_server_socket(host, port, backlog=backlog)
    # Accepted sockets inherit it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    return sock
