"""The project's exceptions, all derived from :class:`SwifthoistError`."""

from collections.abc import Sequence
from typing import NamedTuple


class Finding(NamedTuple):
    """One problem in an input, and where it is.

    :ivar location: path of the invalid value, such as ``limits.rate`` or
        ``SWIFTHOISTD_HTTP``.
    :ivar problem: what is wrong with it, in plain words.
    """

    location: str
    problem: str

    def __str__(self) -> str:
        """Format the finding on one line."""
        return f'{self.location}: {self.problem}'


class SwifthoistError(Exception):
    """Base class of the project's own exceptions."""


class FindingError(SwifthoistError):
    """A finding as an exception, to be part of an exception group.

    :ivar finding: the finding.
    """

    def __init__(self, finding: Finding) -> None:
        """Create an error from a finding.

        :param finding: what is wrong, and where.
        """
        super().__init__(str(finding))
        self.finding = finding


class InvalidInputError(ExceptionGroup[FindingError], SwifthoistError):
    """All problems of one input, reported together."""

    @classmethod
    def from_findings(
        cls, subject: str, findings: Sequence[Finding]
    ) -> 'InvalidInputError':
        """Create the exception group from findings.

        :param subject: the invalid input, such as ``catalogue entry``.
        :param findings: at least one finding.
        :returns: the group, ready to raise.
        """
        errors = [FindingError(finding) for finding in findings]
        return cls(f'invalid {subject}', errors)

    @property
    def findings(self) -> tuple[Finding, ...]:
        """All findings, in the order in which they were collected."""
        return tuple(
            error.finding
            for error in self.exceptions
            if isinstance(error, FindingError)
        )


def raise_findings(subject: str, findings: Sequence[Finding]) -> None:
    """Raise all findings as one error, if there are any.

    :param subject: the input that was checked.
    :param findings: its problems; empty if it is valid.
    :raises InvalidInputError: with all findings, if there are any.
    """
    if findings:
        raise InvalidInputError.from_findings(subject, findings)


class LogUnavailableError(SwifthoistError):
    """The platform's log did not answer in time or rejected the call."""


class LogSilentError(LogUnavailableError):
    """A read of the platform's log timed out."""


class LogExpiredError(SwifthoistError):
    """The requested records are older than the log's retention.

    :ivar earliest: offset of the oldest record that the log still has.
    """

    def __init__(self, earliest: int) -> None:
        """Create the error.

        :param earliest: offset of the oldest record that the log still has.
        """
        super().__init__(f'records before offset {earliest} have expired')
        self.earliest = earliest


class OutcomeUnknownError(SwifthoistError):
    """A call may or may not have taken effect."""


class AnswerLateError(OutcomeUnknownError):
    """The reply to a call did not arrive before its timeout."""


class UnreachableError(SwifthoistError):
    """No connection could be opened, so the call did not take effect."""


class SnapshotError(SwifthoistError):
    """A snapshot or one of its chunks is corrupt or incomplete."""
