"""Runs one soak per seed, one after another, and prints a JSON line for each."""

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
    """Run soaks with consecutive seeds.

    :param first: first seed.
    :param count: number of seeds.
    :param seconds: how long each soak injects faults.
    :param logs: existing folder in which to keep logs; empty discards them.
    :param instances: number of instances in each soak.
    :returns: 0 if no soak found a violation, else 1.
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
