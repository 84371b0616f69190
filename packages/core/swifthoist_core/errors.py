"""The family of errors of the project, all from one base."""

from collections.abc import Sequence
from typing import NamedTuple


class Finding(NamedTuple):
    """One thing that is wrong with an input, and where.

    :ivar location: path to the part at fault, such as ``limits.rate`` or
        ``SWIFTHOISTD_HTTP``.
    :ivar problem: what is wrong with it, in plain words.
    """

    location: str
    problem: str

    def __str__(self) -> str:
        """Show the finding on one line."""
        return f'{self.location}: {self.problem}'


class SwifthoistError(Exception):
    """Base of every error that the project raises on purpose."""


class FindingError(SwifthoistError):
    """One finding as an error, for use inside an exception group.

    :ivar finding: the finding itself.
    """

    def __init__(self, finding: Finding) -> None:
        """Keep the finding.

        :param finding: what is wrong, and where.
        """
        super().__init__(str(finding))
        self.finding = finding


class InvalidInputError(ExceptionGroup[FindingError], SwifthoistError):
    """Everything that is wrong with one input, reported together."""

    @classmethod
    def from_findings(
        cls, subject: str, findings: Sequence[Finding]
    ) -> 'InvalidInputError':
        """Make the error from the findings.

        :param subject: the input at fault, such as ``catalogue entry``.
        :param findings: at least one finding.
        :returns: the group, ready to raise.
        """
        problems = [FindingError(finding) for finding in findings]
        return cls(f'invalid {subject}', problems)

    @property
    def findings(self) -> tuple[Finding, ...]:
        """All findings, in the order in which they were collected."""
        return tuple(
            problem.finding
            for problem in self.exceptions
            if isinstance(problem, FindingError)
        )


def raise_findings(subject: str, findings: Sequence[Finding]) -> None:
    """Raise all findings together, if there are any.

    :param subject: the input that was checked.
    :param findings: what was found; empty when all is well.
    :raises InvalidInputError: with every finding.
    """
    if findings:
        raise InvalidInputError.from_findings(subject, findings)


class LogUnavailableError(SwifthoistError):
    """The platform's log did not answer in time or refused to serve."""


class LogSilentError(LogUnavailableError):
    """A read of the platform's log was not answered in its time."""


class LogExpiredError(SwifthoistError):
    """The records asked for are older than the log keeps.

    :ivar earliest: the oldest offset that the log still holds.
    """

    def __init__(self, earliest: int) -> None:
        """Keep the oldest offset still held.

        :param earliest: offset of the oldest record.
        """
        super().__init__(f'records before offset {earliest} have expired')
        self.earliest = earliest


class OutcomeUnknownError(SwifthoistError):
    """A call may or may not have taken effect."""


class AnswerLateError(OutcomeUnknownError):
    """The answer to a call did not come in its time."""


class UnreachableError(SwifthoistError):
    """The other end was not reached, so the call did not take effect."""


class SnapshotError(SwifthoistError):
    """A snapshot or one of its chunks is damaged or incomplete."""
