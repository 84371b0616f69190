"""Tokens that tell who calls: an owner or an operator."""

import enum
import hashlib
import hmac
from typing import NamedTuple


class Role(enum.StrEnum):
    """What a caller may do."""

    OWNER = 'owner'
    OPERATOR = 'operator'


class Identity(NamedTuple):
    """Who calls.

    :ivar role: what the caller may do.
    :ivar name: the owner's id or the operator's name.
    """

    role: Role
    name: str


def make_token(secret: str, identity: Identity) -> str:
    """Make the token of a caller.

    :param secret: the key that all instances share.
    :param identity: who will call with it.
    :returns: the token, to be sent as a bearer token.
    """
    signature = _sign(secret, identity)
    return f'{identity.role}:{identity.name}:{signature}'


def read_token(secret: str, token: str) -> Identity | None:
    """Find out who calls.

    :param secret: the key that all instances share.
    :param token: the token as it came.
    :returns: who it was made for, ``None`` if it is not genuine.
    """
    role, _, rest = token.partition(':')
    name, _, signature = rest.rpartition(':')
    if role not in set(Role) or not name:
        return None
    identity = Identity(Role(role), name)
    expected = _sign(secret, identity)
    if hmac.compare_digest(expected.encode(), signature.encode()):
        return identity
    return None


def _sign(secret: str, identity: Identity) -> str:
    text = f'{identity.role}:{identity.name}'
    digest = hmac.new(secret.encode(), text.encode(), hashlib.sha256)
    return digest.hexdigest()
