"""
Logs
====

One line of key=value pairs for each event, on standard error or to a `LineWriter`.
"""

import logging
import sys

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
FAILURE_LEVEL = LEVELS["warning"]


def setup_logging(level, stream=None):
    """Configure logging of this process."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "vm", "event"],
                drop_missing=True,
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    # The library would log each caller's mistake again, with a traceback.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL + 1)


class _BudgetProcessor:
    """Drops lines that the writer's rate limit does not admit."""

    def __init__(self, writer):
        self._writer = writer

    def __call__(self, _logger, method, event_dict):
        if not self._writer.admits(FAILURE_LEVEL <= LEVELS.get(method, FAILURE_LEVEL)):
            raise structlog.DropEvent
        return event_dict


def setup_bounded_logging(level, writer):
    """Configure logging that never blocks and is limited in rate.

    Parameters
    ----------
    level : str
    writer : LineWriter
    """
    setup_logging(level, writer)
    processors = [_BudgetProcessor(writer), *structlog.get_config()["processors"]]
    structlog.configure(
        processors=processors,
        logger_factory=structlog.WriteLoggerFactory(writer),
    )


def make_log(vm):
    """Return the logger of one daemon."""
    return structlog.get_logger().bind(vm=vm)
