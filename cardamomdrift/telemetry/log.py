"""
Logs
====

One line of key=value pairs for each event, on standard error.
"""

import logging
import sys

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def setup_logging(level, stream=None):
    """Set up the logs of this process."""
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
    # Each caller's mistake would be logged twice, with a traceback.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL + 1)


def make_log(vm):
    """Return the log of one daemon."""
    return structlog.get_logger().bind(vm=vm)
