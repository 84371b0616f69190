"""Entry point of the command line swifthoist."""

import sys

import fire

from swifthoist_cli.commands import Commands

_HELP: tuple[list[str], ...] = (['--help'], ['-h'], ['help'], [])

_HELP_FLAGS = ('--help', '-h')


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    args = sys.argv[1:]
    if args in _HELP:
        # For an object fire lists the commands, for a class only the flags.
        fire.Fire(Commands(), command=['--help'], name='swifthoist')
        return 0
    if args[-1] in _HELP_FLAGS:
        # Otherwise a command that accepts any flag would accept this one.
        args = [*args[:-1], '--', '--help']
    fire.Fire(Commands, command=args, name='swifthoist')
    return 0


if __name__ == '__main__':
    sys.exit(main())
