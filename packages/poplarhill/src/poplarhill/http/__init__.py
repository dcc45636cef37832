"""HTTP/1.1 client and server on curio sockets, based on h11."""

from poplarhill.http.client import Connection as Connection
from poplarhill.http.client import ConnectionLostError as ConnectionLostError
from poplarhill.http.client import IdleState as IdleState
from poplarhill.http.client import InvalidResponseError as InvalidResponseError
from poplarhill.http.client import connect_from as connect_from
from poplarhill.http.client import fetch as fetch
from poplarhill.http.limiter import Cause as Cause
from poplarhill.http.limiter import InputLimiter as InputLimiter
from poplarhill.http.messages import Limits as Limits
from poplarhill.http.messages import Request as Request
from poplarhill.http.messages import Response as Response
from poplarhill.http.messages import json_response as json_response
from poplarhill.http.server import HttpServer as HttpServer
