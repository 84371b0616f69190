"""Buddy arithmetic on the bit masks of a worker's accelerators.

A slot is an aligned run of a power of two of accelerators, so that two slots
are either apart or one holds the other, as in a buddy allocator.
"""

import functools

_CACHED_MASKS = 65_536


def slot_size(accelerators: int) -> int:
    """Accelerators that a part takes from the buddy tree.

    :param accelerators: how many it asked for.
    :returns: the next power of two, 0 for none.
    """
    if accelerators == 0:
        return 0
    return 1 << (accelerators - 1).bit_length()


def mask_of(first: int, size: int) -> int:
    """Bit mask of a run of accelerators.

    :param first: index of the first.
    :param size: how many.
    :returns: the mask, bit 0 for the first accelerator of the worker.
    """
    return ((1 << size) - 1) << first


@functools.lru_cache(_CACHED_MASKS)
def free_slots(busy: int, width: int, size: int) -> tuple[int, ...]:
    """Find the free slots of a size.

    :param busy: mask of the accelerators in use.
    :param width: accelerators of the worker.
    :param size: size of the slot, a power of two, or 0.
    :returns: index of the first accelerator of each free slot.
    """
    if size == 0:
        return (0,)
    starts = range(0, width - size + 1, size)
    return tuple(at for at in starts if not busy & mask_of(at, size))


@functools.lru_cache(_CACHED_MASKS)
def largest_slot(busy: int, width: int) -> int:
    """Size of the largest free slot.

    :param busy: mask of the accelerators in use.
    :param width: accelerators of the worker.
    :returns: a power of two, 0 when nothing is free.
    """
    size = 1 << max(0, width.bit_length() - 1)
    while size and not free_slots(busy, width, size):
        size >>= 1
    return size if width else 0


@functools.lru_cache(_CACHED_MASKS)
def best_slot(busy: int, width: int, size: int) -> int | None:
    """Find the free slot whose use leaves the largest runs whole.

    :param busy: mask of the accelerators in use.
    :param width: accelerators of the worker.
    :param size: size of the slot, a power of two, or 0.
    :returns: index of its first accelerator, ``None`` if none is free.
    """
    starts = free_slots(busy, width, size)
    if not starts:
        return None
    return min(starts, key=lambda at: (_free_around(busy, width, at, size), at))


def _free_around(busy: int, width: int, at: int, size: int) -> int:
    around = max(size, 1)
    while around <= width:
        start = at - at % (around * 2)
        block = mask_of(start, around * 2)
        if start + around * 2 > width or busy & block:
            return around
        around *= 2
    return around
