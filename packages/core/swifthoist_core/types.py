"""Type aliases that all packages share."""

from typing import TypeAlias

Offset: TypeAlias = int
"""Position of a record in a topic of the platform's log, from 0."""

Epoch: TypeAlias = int
"""Number of a holder's term over a cell; higher is newer, 0 is none."""

Millis: TypeAlias = int
"""Milliseconds; as a point in time, since the Unix epoch."""

InstanceId: TypeAlias = str
RunnerId: TypeAlias = str
RackId: TypeAlias = str
ZoneId: TypeAlias = str
OwnerId: TypeAlias = str
JobId: TypeAlias = str
