"""The program swifthoistd: one entry instance."""

import os
import sys

import anyio

from swifthoist_core.errors import InvalidInputError
from swifthoistd.application import Application
from swifthoistd.jsonlogs import set_up_logs
from swifthoistd.settings import Settings, read_settings, source_settings

USAGE_ERROR = 2


def main() -> int:
    """Run the program.

    :returns: the exit code: 0 after a graceful shutdown, 2 for settings
        that are wrong.
    """
    args = sys.argv[1:]
    try:
        cfg = read_settings(args, os.environ)
    except InvalidInputError as exc:
        for finding in exc.findings:
            sys.stderr.write(f'swifthoistd: {finding}\n')
        return USAGE_ERROR
    set_up_logs(cfg)
    anyio.run(_serve, cfg, args)
    return 0


async def _serve(cfg: Settings, args: list[str]) -> None:
    sourced = source_settings(args, os.environ)
    await Application(cfg, sourced).run()


if __name__ == '__main__':
    sys.exit(main())
