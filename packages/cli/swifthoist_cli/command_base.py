"""Base class and decorator of the commands."""

import functools
import inspect
import sys
from collections.abc import Callable
from typing import Any

from fire import decorators

from swifthoist_cli.client import ApiClient
from swifthoist_cli.inputs import read_target
from swifthoist_cli.output import ExitCode, print_error
from swifthoist_core.errors import SwifthoistError

# fire stores its metadata in an attribute of each command, and would list it in
# the help unless its name starts with an underscore.
decorators.FIRE_METADATA = '_fire_metadata'

_STRING_TYPES = (str, str | None)


def command(method: Callable[..., int | None]) -> Callable[..., None]:
    """Turn errors of a method into messages and exit codes.

    :param method: the method.
    :returns: a method that exits the program with its exit code.
    """

    @functools.wraps(method)
    def wrapper(*args: Any, **kwargs: Any) -> None:
        try:
            code = method(*args, **kwargs)
        except SwifthoistError as exc:
            code = print_error(exc)
        sys.exit(int(code or ExitCode.OK))

    return _parse_as_strings(wrapper)


def _parse_as_strings(method: Callable[..., None]) -> Callable[..., None]:
    """Prevent fire from parsing a string such as 007 as a number."""
    parameters = inspect.signature(method).parameters.values()
    parsers = {
        parameter.name: str
        for parameter in parameters
        if parameter.annotation in _STRING_TYPES
    }
    decorated: Callable[..., None] = decorators.SetParseFns(**parsers)(method)
    return decorated


class CommandBase:
    """Flags that every command accepts."""

    def __init__(self, url: str | None = None, json: bool = False) -> None:
        """Store the flags.

        :param url: base URLs of instances, separated by commas.
        :param json: print JSON instead of tables.
        """
        self._url = None if url is None else str(url)
        self._json = json

    def _api(self) -> ApiClient:
        return ApiClient(read_target(self._url))
