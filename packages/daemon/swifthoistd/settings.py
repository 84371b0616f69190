"""Settings of an entry instance, from flags and environment variables."""

import argparse
import ipaddress
import typing
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from swifthoist_core.errors import Finding, raise_findings
from swifthoist_core.types import InstanceId, Millis, ZoneId

_PREFIX = 'SWIFTHOISTD_'
_MAX_PORT = 65_535
_MIN_SECRET = 16
_MIN_LEASE_MS = 1_000
_MAX_MS = 600_000
_LEVELS = ('debug', 'info', 'warning', 'error')


class Settings(NamedTuple):
    """Everything that an instance is told about its surroundings.

    :ivar instance: id of the instance, unique among all.
    :ivar zone: its availability zone.
    :ivar rack: its rack, if known.
    :ivar http: ``host:port`` for callers and operators; port 0 takes any.
    :ivar peer: ``host:port`` for other instances; port 0 takes any.
    :ivar log_url: base URL of the platform's log.
    :ivar list_url: base URL of the platform's instance list.
    :ivar secret: key of the tokens of owners and operators.
    :ivar cell_lease_ms: lease of the cell's holder, in ms.
    :ivar worker_lease_ms: lease of a running part at its worker, in ms.
    :ivar drain_ms: how long the balancer needs to let go, in ms.
    :ivar log_level: least level that is logged.
    """

    instance: InstanceId
    zone: ZoneId
    rack: str
    http: str
    peer: str
    log_url: str
    list_url: str
    secret: str
    cell_lease_ms: Millis
    worker_lease_ms: Millis
    drain_ms: Millis
    log_level: str


class Option(NamedTuple):
    """One setting as a user gives it.

    :ivar name: name in :class:`Settings`.
    :ivar default: value when it is not given, ``None`` if it must be.
    :ivar help_text: what it is, for ``--help``.
    """

    name: str
    default: str | None
    help_text: str

    @property
    def flag(self) -> str:
        """The flag, such as ``--log-url``."""
        return '--' + self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """The environment variable, such as ``SWIFTHOISTD_LOG_URL``."""
        return f'{_PREFIX}{self.name.upper()}'


OPTIONS: tuple[Option, ...] = (
    Option('instance', None, 'id of this instance'),
    Option('zone', None, 'availability zone of this instance'),
    Option('rack', '', 'rack of this instance'),
    Option('http', '127.0.0.1:8080', 'address for callers and operators'),
    Option('peer', '127.0.0.1:8081', 'address for other instances'),
    Option('log_url', None, "base URL of the platform's log"),
    Option('list_url', None, "base URL of the platform's instance list"),
    Option('secret', None, 'key of the tokens, 16 characters or more'),
    Option('cell_lease_ms', '3000', 'lease of the cell, in ms'),
    Option('worker_lease_ms', '10000', 'lease at a worker, in ms'),
    Option('drain_ms', '1000', 'time the balancer needs, in ms'),
    Option('log_level', 'info', 'debug, info, warning or error'),
)


class Sourced(NamedTuple):
    """A setting's text and where it came from.

    :ivar option: the setting.
    :ivar text: its text, ``None`` if it was not given.
    :ivar source: ``flag``, ``environment`` or ``default``.
    """

    option: Option
    text: str | None
    source: str


def read_settings(args: Sequence[str], environ: Mapping[str, str]) -> Settings:
    """Read the settings; flags go before the environment.

    :param args: the command line without the program's name.
    :param environ: the environment variables.
    :returns: the settings.
    :raises InvalidInputError: with every finding.
    """
    sourced = source_settings(args, environ)
    findings: list[Finding] = list(_unknown_variables(environ))
    texts = {item.option.name: _checked(item, findings) for item in sourced}
    raise_findings('settings', findings)
    numbers = {
        name: int(text) for name, text in texts.items() if name.endswith('_ms')
    }
    fields: dict[str, typing.Any] = {**texts, **numbers}
    return Settings(**fields)


def source_settings(
    args: Sequence[str], environ: Mapping[str, str]
) -> tuple[Sourced, ...]:
    """Find the text of each setting and where it came from.

    :param args: the command line without the program's name.
    :param environ: the environment variables.
    :returns: one item for each of :data:`OPTIONS`.
    """
    parser = _parser()
    namespace = parser.parse_args(args)
    return tuple(_source(option, namespace, environ) for option in OPTIONS)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='swifthoistd',
        description='One entry instance of the swifthoist scheduler.',
        epilog=f'Each flag can be set as {_PREFIX}NAME in the environment.',
        allow_abbrev=False,
    )
    for option in OPTIONS:
        text = option.help_text
        if option.default:
            text = f'{text} (default {option.default})'
        parser.add_argument(option.flag, dest=option.name, help=text)
    return parser


def _source(
    option: Option,
    given: argparse.Namespace,
    environ: Mapping[str, str],
) -> Sourced:
    flag: str | None = getattr(given, option.name)
    if flag is not None:
        return Sourced(option, flag, 'flag')
    variable = environ.get(option.variable)
    if variable is not None:
        return Sourced(option, variable, 'environment')
    return Sourced(option, option.default, 'default')


def _unknown_variables(environ: Mapping[str, str]) -> list[Finding]:
    known = {option.variable for option in OPTIONS}
    names = sorted(name for name in environ if name.startswith(_PREFIX))
    return [
        Finding(name, 'is not a known setting')
        for name in names
        if name not in known
    ]


def _checked(item: Sourced, findings: list[Finding]) -> str:
    place = f'{item.option.flag} ({item.option.variable})'
    if item.text is None:
        findings.append(Finding(place, 'is missing'))
        return ''
    check = _CHECKS.get(item.option.name)
    problem = check(item.text) if check else ''
    if problem:
        findings.append(Finding(place, problem))
    return item.text


def _address_problem(text: str) -> str:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return 'must be an IP number and a port, such as 127.0.0.1:8080'
    if not port.isdigit() or int(port) > _MAX_PORT:
        return f'port must be a number up to {_MAX_PORT}'
    return ''


def _url_problem(text: str) -> str:
    scheme, found, rest = text.partition('://')
    if scheme not in {'http', 'https'} or not found:
        return 'must be a URL that starts with http:// or https://'
    return _address_problem(rest.rstrip('/'))


def _lease_problem(text: str) -> str:
    if text.isdecimal() and _MIN_LEASE_MS <= int(text) <= _MAX_MS:
        return ''
    return f'must be a number of ms from {_MIN_LEASE_MS} to {_MAX_MS}'


def _millis_problem(text: str) -> str:
    if text.isdecimal() and int(text) <= _MAX_MS:
        return ''
    return f'must be a number of ms up to {_MAX_MS}'


def _name_problem(text: str) -> str:
    return '' if text.strip() else 'must not be empty'


def _secret_problem(text: str) -> str:
    if len(text) >= _MIN_SECRET:
        return ''
    return f'must have {_MIN_SECRET} characters or more'


def _level_problem(text: str) -> str:
    return '' if text in _LEVELS else f'must be one of {", ".join(_LEVELS)}'


_CHECKS: dict[str, Callable[[str], str]] = {
    'instance': _name_problem,
    'zone': _name_problem,
    'http': _address_problem,
    'peer': _address_problem,
    'log_url': _url_problem,
    'list_url': _url_problem,
    'secret': _secret_problem,
    'cell_lease_ms': _lease_problem,
    'worker_lease_ms': _lease_problem,
    'drain_ms': _millis_problem,
    'log_level': _level_problem,
}
