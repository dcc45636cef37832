"""Helpers shared by the commands."""

import json
import sys
from pathlib import Path
from typing import Any

import click

from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError


class CommandGroup(click.Group):
    """A group that shows each `PoplarhillError` as one line and its exit code."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except PoplarhillError as error:
            click.echo(f"Error: {error.format_message()}", err=True)
            sys.exit(error.exit_code)


class Address(click.ParamType):
    """An `IP:PORT` value, converted to a pair of host and port."""

    name = "ip:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        """Convert the text of an option."""
        if isinstance(value, tuple):
            return value
        host, separator, port = value.rpartition(":")
        if not (host and separator and port.isdigit()):
            self.fail(f"{value!r} is not IP:PORT", param, ctx)
        return host, int(port)


def load_json(path: Path) -> Any:
    """Read a JSON file.

    Raises:
        PoplarhillError: The file cannot be read or is not JSON.
    """
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        failure = Failure(ErrorKind.BAD_REQUEST, f"{path}: {error}")
        raise PoplarhillError(failure) from error
