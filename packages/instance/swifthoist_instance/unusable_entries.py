"""Counts entries of the store that can't be used, and logs each key once."""

import logging

MAX_LOGGED_KEYS = 1_000
"""Number of keys that are remembered; problems of others are only counted."""

_log = logging.getLogger(__name__)


class UnusableEntries:
    """Entries of runners that had a problem.

    :ivar count: number of entries read that had one.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.count = 0
        self._logged: set[str] = set()

    def note(self, key: str, problem: str) -> None:
        """Count a problem, and log it if it is the first of its key.

        :param key: key of the entry; empty if it can't be decoded.
        :param problem: the problem.
        """
        self.count += 1
        if key in self._logged or len(self._logged) >= MAX_LOGGED_KEYS:
            return
        self._logged.add(key)
        fields = {'key': key, 'problem': problem}
        _log.error('problem in registry entry', extra=fields)
        if len(self._logged) == MAX_LOGGED_KEYS:
            _log.error('problems of further entries are only counted')
