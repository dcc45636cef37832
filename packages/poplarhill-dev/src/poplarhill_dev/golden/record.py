"""Records the golden sessions again with the current behaviour."""

from pathlib import Path

from poplarhill_dev.golden.session import replay

SESSIONS = Path("packages/poplarhilld/tests/golden")


def record_all(directory: Path = SESSIONS) -> list[Path]:
    """Record every session of a directory again; return the files that changed."""
    changed = []
    for path in sorted(directory.glob("*.txt")):
        before = path.read_text(encoding="utf-8")
        after = replay(before)
        if after != before:
            path.write_text(after, encoding="utf-8")
            changed.append(path)
    return changed
