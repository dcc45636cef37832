"""Structured logs: one JSON object per line on standard output."""

import sys

import structlog


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
