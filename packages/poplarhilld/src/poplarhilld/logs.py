"""Structured logs: one JSON object per line on standard output."""

import logging
import sys

import structlog


class _LibraryHandler(logging.Handler):
    """Writes what libraries log through `logging` as structured lines."""

    def emit(self, record: logging.LogRecord) -> None:
        log = structlog.get_logger()
        log.warning(
            "LibraryMessage",
            library=record.name,
            severity=record.levelname.lower(),
            message=record.getMessage(),
        )


def capture_library_logs() -> None:
    """Let messages of libraries appear as structured lines, not as plain text."""
    root = logging.getLogger()
    if not any(isinstance(handler, _LibraryHandler) for handler in root.handlers):
        root.addHandler(_LibraryHandler())


def configure_logs(host: str) -> None:
    """Configure structlog for this process.

    Args:
        host: Name of this entry host, which is added to every line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
    )
    structlog.contextvars.bind_contextvars(host=host)
    capture_library_logs()
