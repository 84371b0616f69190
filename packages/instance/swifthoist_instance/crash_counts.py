"""Counts crashes of runners, for metrics."""


class CrashCounts:
    """Counts crashes, as this instance saw them.

    :ivar crashes: runners that went down without notice, with runs on them.
    :ivar given_up: tasks given up because they crash their runners.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.crashes = 0
        self.given_up = 0
