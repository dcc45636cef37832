"""Validates JSON values against a JSON schema and reports every problem."""

from typing import Any

import jsonschema

from poplarhill.exceptions import SettingsError

_MAX_MESSAGE_CHARS = 500  # messages quote the value


def check(value: Any, schema: dict[str, Any]) -> None:
    """Validate a decoded JSON value against a schema.

    Raises:
        SettingsError: The value is invalid; lists every problem by path.
    """
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(value), key=lambda error: list(error.path))
    if errors:
        raise SettingsError(tuple(_describe(error) for error in errors))


def _describe(error: jsonschema.ValidationError) -> str:
    path = "/" + "/".join(str(part) for part in error.absolute_path)
    return f"{path}: {error.message[:_MAX_MESSAGE_CHARS]}"
