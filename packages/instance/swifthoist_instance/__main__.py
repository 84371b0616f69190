"""Entry point of the program: one instance of the scheduler."""

import os
import sys
from pathlib import Path

import anyio

from swifthoist_core.clock import SystemClock
from swifthoist_core.errors import InvalidInputError
from swifthoist_instance.application import Application, Environment
from swifthoist_instance.clients import user_agent
from swifthoist_instance.jsonlogs import configure_logs
from swifthoist_instance.settings import Settings
from swifthoist_platform.boot import BOOT_VARIABLE, read_boot_settings
from swifthoist_platform.endpoint import Endpoint

USAGE_ERROR = 2

LIFE_BYTES = 4
"""Length of the random identifier of each life of an instance, in bytes."""


def main() -> int:
    """Run the program.

    :returns: the exit code: 0 after a graceful stop, 2 for invalid settings.
    """
    path = os.environ.get(BOOT_VARIABLE, '')
    if not path:
        sys.stderr.write(f'{BOOT_VARIABLE}: is not set\n')
        return USAGE_ERROR
    try:
        boot = read_boot_settings(Path(path))
    except InvalidInputError as exc:
        for finding in exc.findings:
            sys.stderr.write(f'{finding}\n')
        return USAGE_ERROR
    logs = configure_logs(boot.instance, boot.zone)
    headers = {'User-Agent': user_agent(boot.instance)}
    environment = Environment(
        SystemClock(),
        lambda address: Endpoint(address, headers),
        os.urandom(LIFE_BYTES).hex(),
    )
    settings = Settings(Path(path), boot)
    anyio.run(Application(settings, logs, environment).run)
    return 0


if __name__ == '__main__':
    sys.exit(main())
