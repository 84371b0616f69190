"""What belongs to the state of the ledger, attribute by attribute."""

from typing import Any, NamedTuple

from swifthoist_core.account import SeriesKey
from swifthoist_core.authors import Seen
from swifthoist_core.catalogue import Policy, Versioned
from swifthoist_core.cells import CellState
from swifthoist_core.fleet import Room
from swifthoist_core.holdings import Holding, LendingKey
from swifthoist_core.jobs import Job
from swifthoist_core.lines import Line, LineKey
from swifthoist_core.records import Author
from swifthoist_core.requests import RequestId, RequestState
from swifthoist_core.series import Series
from swifthoist_core.shapes import WorkerSpec
from swifthoist_core.shortfalls import Ask, Shortfall
from swifthoist_core.spans import Span


class Field(NamedTuple):
    """One attribute that belongs to the state.

    :ivar path: attribute of the ledger that is the aggregate, empty for the
        ledger itself.
    :ivar name: attribute of the aggregate.
    :ivar kind: type of its value.
    """

    path: str
    name: str
    kind: Any


FIELDS: tuple[Field, ...] = (
    Field('', 'offset', int),
    Field('', 'time_ms', int),
    Field('', 'passed_over', int),
    Field('', '_forgot_ms', int),
    Field('authors', '_seen', dict[Author, Seen]),
    Field('cell', 'state', CellState),
    Field('catalogue', 'policy', Policy),
    Field('catalogue', 'policy_version', int),
    Field('catalogue', '_entries', dict[str, Versioned]),
    Field('catalogue', '_by_class', dict[tuple[str, str], str]),
    Field('fleet', '_specs', dict[str, WorkerSpec]),
    Field('fleet', '_rooms', dict[str, Room]),
    Field('fleet', '_leaving', set[str]),
    Field('jobs', '_jobs', dict[str, Job]),
    Field('jobs', '_keys', dict[tuple[str, str], str]),
    Field('jobs', '_open', dict[str, None]),
    Field('requests', '_states', dict[RequestId, RequestState]),
    Field('requests', '_open', dict[RequestId, None]),
    Field('requests', '_settled', dict[RequestId, None]),
    Field('requests', '_compact', dict[int, bytes]),
    Field('account', 'dropped', int),
    Field('account', '_lines', dict[LineKey, Line]),
    Field('account', '_spans', list[Span]),
    Field('account', '_series', dict[SeriesKey, Series]),
    Field('holdings', 'fleet', int),
    Field('holdings', '_since_ms', int),
    Field('holdings', '_held', dict[str, Holding]),
    Field('holdings', '_promised', dict[str, int]),
    Field('holdings', '_lent', dict[LendingKey, int]),
    Field('shortfalls', 'dropped', int),
    Field('shortfalls', '_asks', dict[str, Ask]),
    Field('shortfalls', '_open', dict[str, Shortfall]),
    Field('shortfalls', '_closed', list[Shortfall]),
)
"""Everything that a snapshot holds, in the order of its parts."""
