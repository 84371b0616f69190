"""Record about a snapshot, by which every instance knows how old it is."""

from typing import NamedTuple

from swifthoist_core.types import Epoch, Millis, Offset


class SnapshotTaken(NamedTuple):
    """A complete snapshot is in the store.

    :ivar epoch: epoch of the holder that wrote it.
    :ivar position: offset of the first record that it doesn't include.
    :ivar at_ms: time at which it was taken.
    """

    epoch: Epoch
    position: Offset
    at_ms: Millis
