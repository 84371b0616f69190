"""Checks of addresses and ids, which may come from any writer.

They decide, before anything is opened, whether a call can be made.
"""

import re
from functools import lru_cache
from ipaddress import IPv4Address, IPv6Address

import httpx

MAX_PORT = 65_535

MAX_HOST_CHARS = 253
"""Length of the longest host name in the DNS."""

MAX_ID_CHARS = 255
"""Length of the longest key of a record."""

_ADDRESS = re.compile(
    rf'(\[[0-9A-Fa-f:.]{{2,45}}\]|[A-Za-z0-9._-]{{1,{MAX_HOST_CHARS}}})'
    r':([0-9]{1,5})'
)
_LABEL = re.compile('[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?')
_ID = re.compile(f'[!-~]{{1,{MAX_ID_CHARS}}}')
_CACHE_SIZE = 1_024


def is_address(text: str) -> bool:
    """Return whether calls can be made to an address.

    :param text: ``host:port``; the host is an IPv4 address, an IPv6 address in
        brackets or a name.
    :returns: whether it is complete and every part is in range.
    """
    # The length is limited first, so that the cache stays small.
    found = _ADDRESS.fullmatch(text)
    return found is not None and _is_usable(*found.groups())


def is_header_id(text: str) -> bool:
    """Return whether a header can carry an id as it is.

    :param text: the id.
    :returns: whether it consists of visible ASCII characters.
    """
    return _ID.fullmatch(text) is not None


@lru_cache(_CACHE_SIZE)
def _is_usable(host: str, port: str) -> bool:
    return 0 < int(port) <= MAX_PORT and _is_host(host)


def _is_host(host: str) -> bool:
    try:
        return _parse_host(host)
    except ValueError:
        return False


def _parse_host(host: str) -> bool:
    """Return whether a host is valid.

    :raises ValueError: if it is an invalid IP address or encoded name.
    """
    if host.startswith('['):
        IPv6Address(host[1:-1])
        return True
    labels = host.removesuffix('.').split('.')
    if labels[-1].isdecimal():
        # Resolvers read other forms, such as 127.1, as addresses too.
        IPv4Address(host)
        return True
    # The client decodes labels of the form xn--NAME.
    decoded = httpx.URL(scheme='http', host=host).host
    return bool(decoded) and all(map(_LABEL.fullmatch, labels))
