"""Write structured log events as JSON lines."""

import logging as standard_logging
import sys
from typing import Any, TextIO

from absl import flags
from absl import logging as absl_logging
from msgspec import json

LEVELS = {
    "debug": absl_logging.DEBUG,
    "info": absl_logging.INFO,
    "warning": absl_logging.WARNING,
    "error": absl_logging.ERROR,
}


class _JsonFormatter(standard_logging.Formatter):
    """Format a log record as one JSON line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record's time, level, message and fields as JSON."""
        line = {
            "time_ms": int(record.created * 1000),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        return json.encode(line).decode()


class EventLogger:
    """Log events of one module with named fields."""

    def __init__(self, module: str) -> None:
        self._module = module

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event that helps to diagnose faults."""
        self._log(standard_logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log a change of state for operators."""
        self._log(standard_logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that may need attention."""
        self._log(standard_logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event that needs attention."""
        self._log(standard_logging.ERROR, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, Any]) -> None:
        logger = absl_logging.get_absl_logger()
        if logger.isEnabledFor(level):
            extra = {"fields": {"module": self._module, **fields}}
            logger.log(level, event, extra=extra)


def get_logger(module: str) -> EventLogger:
    """Return the logger of a module."""
    return EventLogger(module)


def configure_logging(level: str, stream: TextIO = sys.stderr) -> None:
    """Write events of the given level and above to the stream."""
    # cleo parses the command line, so absl flags are never parsed, which
    # would make absl log a warning.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(_JsonFormatter())
    handler.python_handler.stream = stream
    absl_logging.set_verbosity(LEVELS[level])
