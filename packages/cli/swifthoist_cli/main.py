"""The program swifthoist: the command line for operators."""

import sys

import fire

from swifthoist_cli.commands import Commands


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    fire.Fire(Commands, name='swifthoist')
    return 0


if __name__ == '__main__':
    sys.exit(main())
