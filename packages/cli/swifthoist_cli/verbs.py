"""What every verb of the command line shares."""

import functools
import sys
from collections.abc import Callable
from typing import Any

from swifthoist_cli.client import ApiClient
from swifthoist_cli.inputs import read_target
from swifthoist_cli.output import ExitCode, print_error
from swifthoist_core.errors import SwifthoistError


def verb(command: Callable[..., int | None]) -> Callable[..., None]:
    """Make a method a verb: errors become messages and exit codes.

    :param command: the method.
    :returns: a method that ends the program with its exit code.
    """

    @functools.wraps(command)
    def wrapper(*args: Any, **kwargs: Any) -> None:
        try:
            code = command(*args, **kwargs)
        except SwifthoistError as exc:
            code = print_error(exc)
        sys.exit(int(code or ExitCode.OK))

    return wrapper


class Verbs:
    """The flags that every verb takes."""

    def __init__(
        self,
        url: str | None = None,
        token: str | None = None,
        json: bool = False,
    ) -> None:
        """Keep the flags.

        :param url: base URLs of entry instances, separated by commas.
        :param token: bearer token of an operator or owner.
        :param json: print documents instead of text.
        """
        self._url = url
        self._token = token
        self._json = json

    def _api(self) -> ApiClient:
        return ApiClient(read_target(self._url, self._token))
