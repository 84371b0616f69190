"""Mixes of work, as the two users of the system send it."""

from typing import NamedTuple, TypeAlias

from swifthoist_core.shapes import Adjacency, Shape
from swifthoist_core.types import ClassName, Millis


class RequestKind(NamedTuple):
    """Short requests to runners.

    :ivar class_name: class of work.
    :ivar weight: share in the mix, relative to the other kinds.
    :ivar idempotent: whether a request may run more than once.
    :ivar deadline_ms: time for an answer, in ms.
    :ivar size: length of the body, in bytes.
    """

    class_name: ClassName
    weight: int
    idempotent: bool
    deadline_ms: Millis
    size: int = 256


class JobKind(NamedTuple):
    """Gang jobs on workers.

    :ivar class_name: class of work.
    :ivar weight: share in the mix, relative to the other kinds.
    :ivar idempotent: whether a job may run more than once.
    :ivar shape: what each needs.
    :ivar expected_ms: declared run time, in ms.
    """

    class_name: ClassName
    weight: int
    idempotent: bool
    shape: Shape
    expected_ms: Millis


Kind: TypeAlias = RequestKind | JobKind


class Mix(NamedTuple):
    """What one user sends.

    :ivar name: name to choose it by.
    :ivar kinds: the kinds of work.
    """

    name: str
    kinds: tuple[Kind, ...]


PILHA_CERTA = Mix(
    'pilha-certa',
    (
        RequestKind('hazard-check', 80, True, 2_000),
        RequestKind('sorting-run', 15, False, 10_000, 4_096),
        JobKind(
            'scan-batch', 5, True, Shape(2, 2, 4, 4_096, Adjacency.RACK), 2_000
        ),
    ),
)

SALTAMONTES = Mix(
    'saltamontes',
    (
        RequestKind('party-confirmation', 40, True, 3_000),
        RequestKind('deposit-charge', 25, False, 10_000),
        RequestKind('waiver-match', 30, True, 5_000, 2_048),
        JobKind(
            'capacity-plan',
            5,
            True,
            Shape(4, 8, 8, 8_192, Adjacency.RACK),
            3_000,
        ),
    ),
)

MIXES = (PILHA_CERTA, SALTAMONTES)
"""Every mix that can be played."""
