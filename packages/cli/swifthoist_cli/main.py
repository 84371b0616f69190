"""The program swifthoist: the command line for operators."""

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
        # Of an object, fire lists the verbs; of a class, only the flags.
        fire.Fire(Commands(), command=['--help'], name='swifthoist')
        return 0
    if args[-1] in _HELP_FLAGS:
        # Else a verb that takes any flag would take this one as well.
        args = [*args[:-1], '--', '--help']
    fire.Fire(Commands, command=args, name='swifthoist')
    return 0


if __name__ == '__main__':
    sys.exit(main())
