"""What belongs to the state of the ledger, attribute by attribute."""

from typing import Any, NamedTuple

from swifthoist_core.account import SeriesKey
from swifthoist_core.authors import Seen
from swifthoist_core.catalogue import Policy, Versioned
from swifthoist_core.cell_book import CellKey, Use, VirtualCell
from swifthoist_core.cells import CellState
from swifthoist_core.estimates import WorkKey
from swifthoist_core.health import Suspicion
from swifthoist_core.holdings import Holding, LendingKey
from swifthoist_core.jobs import Job
from swifthoist_core.lines import Line, LineKey
from swifthoist_core.records import Author
from swifthoist_core.requests import RequestId, RequestState
from swifthoist_core.reservations import Reservation
from swifthoist_core.room_index import Room
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


def _fleet_fields(path: str) -> tuple[Field, ...]:
    return (
        Field(path, 'version', int),
        Field(path, '_specs', dict[str, WorkerSpec]),
        Field(path, '_rooms', dict[str, Room]),
        Field(path, '_leaving', set[str]),
        Field(path, '_aside', set[str]),
    )


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
    *_fleet_fields('fleet'),
    *_fleet_fields('virtual_cells.space'),
    Field('virtual_cells', '_serial', int),
    Field('virtual_cells', '_cells', dict[CellKey, VirtualCell]),
    Field('virtual_cells', '_uses', dict[str, Use]),
    Field('reservations', '_by_job', dict[str, Reservation]),
    Field('estimates', '_ran', dict[WorkKey, tuple[int, ...]]),
    Field('health', '_suspicions', dict[str, Suspicion]),
    Field('health', '_aside', dict[str, int]),
    Field('jobs', '_jobs', dict[str, Job]),
    Field('jobs', '_keys', dict[tuple[str, str], str]),
    Field('jobs', '_open', dict[str, None]),
    Field('requests', '_states', dict[RequestId, RequestState]),
    Field('requests', '_open', dict[RequestId, None]),
    Field('requests', '_settled', dict[RequestId, None]),
    Field('requests', '_compact', dict[int, bytes]),
    Field('account', '_lines', dict[LineKey, Line]),
    Field('account', '_spans', list[Span]),
    Field('account', '_series', dict[SeriesKey, Series]),
    Field('account', 'dropped', int),
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
