"""Documents and a short way to check them."""

import json
from collections.abc import Callable
from typing import Any

import pytest

from poplarhill.configuration.check import (
    Finding,
    InForce,
    UnreadableError,
    check_source,
    read_bytes,
)

CheckText = Callable[..., list[Finding]]


@pytest.fixture
def check_text() -> CheckText:
    """Return a function that checks a text, as bytes or as a document."""

    def check(text: bytes | dict[str, Any], old: Any = None) -> list[Finding]:
        data = text if isinstance(text, bytes) else json.dumps(text, indent=1).encode()
        try:
            source = read_bytes(data)
        except UnreadableError as unreadable:
            return [unreadable.finding]
        return check_source(source, None if old is None else InForce(old))

    return check
