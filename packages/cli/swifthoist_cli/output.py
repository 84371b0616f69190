"""Output and exit codes of the command line."""

import enum
import sys

import msgspec

from swifthoist_cli.client import (
    CallError,
    NoInstanceError,
    UnknownOutcomeError,
)
from swifthoist_core.errors import InvalidInputError, SwifthoistError


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


def print_json(content: object) -> None:
    """Print a document as JSON.

    :param content: the document.
    """
    encoded = msgspec.json.format(msgspec.json.encode(content), indent=2)
    print_text(encoded.decode())


def print_text(text: str) -> None:
    """Print text on standard output.

    :param text: the text, without the final newline.
    """
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def print_table(
    rows: list[dict[str, object]], columns: tuple[str, ...]
) -> None:
    """Print rows as a table.

    :param rows: the rows, each a mapping by column.
    :param columns: columns to show.
    """
    cells = [[str(row.get(name, '')) for name in columns] for row in rows]
    lines = [list(columns), *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        padded = zip(line, widths, strict=True)
        text = '  '.join(cell.ljust(width) for cell, width in padded)
        print_text(text.rstrip())


def print_error(exc: SwifthoistError) -> ExitCode:
    """Print an error on standard error.

    :param exc: the error.
    :returns: the exit code of the error.
    """
    match exc:
        case InvalidInputError():
            for finding in exc.findings:
                _print_error(str(finding))
            return ExitCode.USAGE
        case CallError():
            _print_error(f'refused: {exc}')
            return ExitCode.REFUSED
        case NoInstanceError():
            _print_error(f'not executed: {exc}')
            return ExitCode.UNREACHABLE
        case UnknownOutcomeError():
            _print_error(f'outcome unknown: {exc}')
            return ExitCode.UNKNOWN
        case _:
            _print_error(str(exc))
            return ExitCode.REFUSED


def _print_error(text: str) -> None:
    sys.stderr.write(f'swifthoist: {text}\n')
