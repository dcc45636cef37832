"""Checks of JSON values against a JSON schema, with every problem named."""

from typing import Any

import jsonschema

from poplarhill.exceptions import SettingsError


def check(value: Any, schema: dict[str, Any]) -> None:
    """Check a decoded JSON value.

    Raises:
        SettingsError: Names the path of every value that does not fit.
    """
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(value), key=lambda error: list(error.path))
    if errors:
        raise SettingsError(tuple(_describe(error) for error in errors))


def _describe(error: jsonschema.ValidationError) -> str:
    path = "/" + "/".join(str(part) for part in error.absolute_path)
    return f"{path}: {error.message}"
