"""Runs one soak per seed, one after another, and prints a JSON line for each."""

import json
import shutil
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
    :param logs: existing folder in which to keep logs; empty keeps those of a
        soak that found a violation, in a temporary folder that is printed.
    :param instances: number of instances in each soak.
    :returns: 0 if no soak found a violation, else 1.
    """
    broken = 0
    for seed in range(first, first + count):
        folder = Path(logs or tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        outcome = run_soak(seed, seconds, folder, instances)
        broken += bool(outcome.broken)
        found = {'seed': seed, **outcome._asdict()}
        if outcome.broken:
            found['logs'] = str(folder)
        elif not logs:
            shutil.rmtree(folder)
        line = json.dumps(found)
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()
    return int(broken > 0)


if __name__ == '__main__':
    sys.exit(fire.Fire(main, serialize=lambda _: ''))
