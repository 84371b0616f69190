"""Type aliases that all packages share."""

from typing import TypeAlias

Offset: TypeAlias = int
"""Position of a record in a topic of the platform's log, from 0."""

Epoch: TypeAlias = int
"""Number of a holder's term over a cell; higher is newer, 0 is none."""

Millis: TypeAlias = int
"""Milliseconds; as a point in time, since the Unix epoch."""

MAX_NUMBER = 1 << 53
"""Largest valid number of callers, operators and runners: larger integers are
not exact in JSON, and records of the log hold 64 bits."""

InstanceId: TypeAlias = str
RunnerId: TypeAlias = str
RackId: TypeAlias = str
ZoneId: TypeAlias = str
OwnerId: TypeAlias = str
JobId: TypeAlias = str
