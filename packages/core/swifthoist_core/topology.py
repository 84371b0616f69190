"""The topology tree: which domain holds a worker at each level.

The levels are accelerator, pair, half worker and worker, which
:mod:`swifthoist_core.buddies` keeps as bit masks, then rack and zone.
"""

from swifthoist_core.shapes import Adjacency, WorkerSpec


def domain(spec: WorkerSpec, adjacency: Adjacency) -> str:
    """Name the domain of a worker at a level.

    :param spec: the worker.
    :param adjacency: the level.
    :returns: a name, equal for workers that are near enough.
    """
    match adjacency:
        case Adjacency.WORKER:
            return f'{spec.zone}/{spec.rack}/{spec.worker}'
        case Adjacency.RACK:
            return f'{spec.zone}/{spec.rack}'
        case Adjacency.ZONE:
            return spec.zone
        case _:
            return ''
