"""Helpers shared by the commands."""

import sys
from pathlib import Path
from typing import Any, TypeVar

import click
import curio
import msgspec

from poplarhill.decoding import InvalidDataError, decode_json
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError
from poplarhill.http import (
    ConnectionLostError,
    InvalidResponseError,
    Request,
    Response,
    fetch,
)
from poplarhill.types import Address

HTTP_TIMEOUT_S = 5.0
_SUCCESS_STATUSES = range(200, 300)
_Value = TypeVar("_Value")


class CommandGroup(click.Group):
    """The top-level group.

    It prints each `PoplarhillError` as one line and exits with its exit code.
    """

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except PoplarhillError as error:
            click.echo(f"Error: {error.format_message()}", err=True)
            sys.exit(error.exit_code)


class AddressType(click.ParamType):
    """An option value of the form `IP:PORT`."""

    name = "ip:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        """Convert the value of an option."""
        if isinstance(value, Address):
            return value
        try:
            return Address.from_text(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


host_option = click.option(
    "--host",
    type=AddressType(),
    envvar="POPLARHILL_HOST",
    required=True,
    help="Address of an entry host.",
)


class ErrorAnswer(msgspec.Struct):
    """The `error` object in a daemon's error response."""

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None


class FailedAnswer(msgspec.Struct):
    """A daemon's error response."""

    error: ErrorAnswer


def load_json(path: Path) -> Any:
    """Read a JSON file.

    Raises:
        PoplarhillError: The file cannot be read or is not JSON.
    """
    try:
        return decode_json(path.read_bytes())
    except (OSError, InvalidDataError) as error:
        raise bad_request(f"{path}: {error}") from error


def bad_request(detail: str) -> PoplarhillError:
    """Return an error for input that the operator has to correct."""
    return PoplarhillError(Failure(ErrorKind.BAD_REQUEST, detail))


def call(
    host: tuple[str, int], request: Request, timeout_s: float = HTTP_TIMEOUT_S
) -> Response:
    """Send a request to a daemon and return its successful response.

    Raises:
        PoplarhillError: The daemon responded with an error, or no complete
            response was received.
    """
    try:
        response = curio.run(fetch, *host, request, timeout_s)
    except (ConnectionLostError, InvalidResponseError) as error:
        sent = getattr(error, "sent", True)
        kind = ErrorKind.TIMEOUT if sent else ErrorKind.NOT_READY
        raise PoplarhillError(Failure(kind, str(error))) from error
    if response.status in _SUCCESS_STATUSES:
        return response
    failed = decode(response.body, FailedAnswer).error
    failure = Failure(failed.kind, failed.detail, failed.retry_after_s)
    raise PoplarhillError(failure)


def decode(body: bytes, kind: type[_Value]) -> _Value:
    """Decode a daemon's response.

    Raises:
        PoplarhillError: The response is not of the expected form.
    """
    try:
        return decode_json(body, kind)
    except InvalidDataError as error:
        failure = Failure(ErrorKind.BAD_RESPONSE, str(error))
        raise PoplarhillError(failure) from error
