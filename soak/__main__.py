"""Plays soaks with seeds one after the other, and prints a line for each."""

import json
import sys
import tempfile
from pathlib import Path

import fire

from soak.run_soak import INSTANCES, run_soak

SECONDS = 20.0


def main(
    first: int = 1,
    count: int = 5,
    seconds: float = SECONDS,
    logs: str = '',
    instances: int = INSTANCES,
) -> int:
    """Play soaks.

    :param first: first seed.
    :param count: number of seeds.
    :param seconds: how long faults come in each.
    :param logs: folder that exists, where logs are kept; none by default.
    :param instances: number of instances in each.
    :returns: 0 if no promise was broken, else 1.
    """
    broken = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            outcome = run_soak(seed, seconds, Path(logs or folder), instances)
        broken += bool(outcome.broken)
        line = json.dumps({'seed': seed, **outcome._asdict()})
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()
    return int(broken > 0)


if __name__ == '__main__':
    sys.exit(fire.Fire(main, serialize=lambda _: ''))
