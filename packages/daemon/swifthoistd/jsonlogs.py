"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from swifthoistd.settings import Settings

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


def set_up_logs(cfg: Settings) -> None:
    """Send the logs of the program to standard error as JSON lines.

    :param cfg: settings; the instance and its zone stand in each line.
    """
    formatter = JsonFormatter(
        _FIELDS,
        rename_fields={'asctime': 'time', 'levelname': 'level'},
        static_fields={'instance': cfg.instance, 'zone': cfg.zone},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(cfg.log_level.upper())
    # These log each call at a level that only helps while debugging them.
    for noisy in ('httpx', 'httpcore', 'hypercorn.access'):
        logging.getLogger(noisy).setLevel(logging.WARNING)
