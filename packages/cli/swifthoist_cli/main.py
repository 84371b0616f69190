"""The program swifthoist: the command line for operators."""

import sys

import fire

from swifthoist_cli.commands import Commands

_HELP: tuple[list[str], ...] = (['--help'], ['-h'], ['help'], [])


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    args = sys.argv[1:]
    if args in _HELP:
        # Of an object, fire lists the verbs; of a class, only the flags.
        fire.Fire(Commands(), command=['--help'], name='swifthoist')
        return 0
    fire.Fire(Commands, command=args, name='swifthoist')
    return 0


if __name__ == '__main__':
    sys.exit(main())
