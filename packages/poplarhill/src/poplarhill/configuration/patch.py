"""JSON merge patches as defined by RFC 7396."""

from typing import Any

Json = Any


def apply_patch(target: Json, patch: Json) -> Json:
    """Return `target` with `patch` applied; both arguments stay unchanged."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = apply_patch(merged.get(name), value)
    return merged


def make_patch(old: Json, new: Json) -> Json:
    """Return the patch that turns `old` into `new`."""
    if not (isinstance(old, dict) and isinstance(new, dict)):
        return new
    patch: dict[str, Json] = {name: None for name in old if name not in new}
    for name, value in new.items():
        if name not in old:
            patch[name] = value
        elif old[name] != value:
            patch[name] = make_patch(old[name], value)
    return patch
