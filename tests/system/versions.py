"""Earlier versions of the packages, taken from the history of the repository."""

import io
import os
import subprocess
import sys
import tarfile
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[2]
_PACKAGES = ('core', 'engine', 'platform', 'instance')

BEFORE_CRASH_REPORTS = 'aceb425'
"""Commit of the last version whose holder doesn't report crashes."""

BEFORE_TASK_CRASHES = '746369d'
"""Commit of the last version that counts crashes for gangs as a whole."""

BEFORE_WIDE_TOTALS = '7a38e49'
"""Commit of the last version that stands still once a total needs over 64 bits."""


def unpack_version(commit: str, folder: Path) -> str:
    """Unpack the packages of a commit.

    :param commit: the commit.
    :param folder: an existing folder to unpack into.
    :returns: value of ``PYTHONPATH`` with which they are imported.
    """
    archive = subprocess.run(
        ('git', 'archive', commit, 'packages'),
        cwd=_ROOT,
        capture_output=True,
        check=True,
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter='data')
    paths = [str(folder / 'packages' / name) for name in _PACKAGES]
    return os.pathsep.join(paths)


def run_in_version(import_path: str, script: str, content: bytes) -> bytes:
    """Run a script with the packages of another version.

    :param import_path: result of :func:`unpack_version`.
    :param script: the script.
    :param content: its standard input.
    :returns: its standard output.
    """
    done = subprocess.run(
        (sys.executable, '-c', script),
        input=content,
        env={**os.environ, 'PYTHONPATH': import_path},
        capture_output=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr.decode()
    return done.stdout
