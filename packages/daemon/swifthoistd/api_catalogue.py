"""HTTP API of the catalogue, for operators."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from swifthoist_core.catalogue import Entry, Versioned
from swifthoist_core.documents import (
    ChangeDocument,
    PolicyChangeDocument,
    entry_document,
    read_entry,
    read_policy,
)
from swifthoist_core.errors import (
    Finding,
    LogUnavailableError,
    OutcomeUnknownError,
)
from swifthoist_core.guarantees import propose
from swifthoist_core.ledger import Ledger, Verdict
from swifthoist_core.records import EntryChanged, PolicyChanged, Record
from swifthoist_core.tokens import Identity, Role
from swifthoistd import replies
from swifthoistd.callers import Gatekeeper, read_document, read_number
from swifthoistd.journal import Journal

COMMIT_S = 5.0
"""How long an operator waits for a change to be folded, in seconds."""

RETRY_AFTER_MS = 1_000


class CatalogueApi:
    """Shows the catalogue and changes it, version by version."""

    def __init__(self, ledger: Ledger, journal: Journal) -> None:
        """Wire the parts.

        :param ledger: the state.
        :param journal: the writer of records.
        """
        self._ledger = ledger
        self._journal = journal

    def routes(self, gate: Gatekeeper) -> list[Route]:
        """The routes of this part of the API.

        :param gate: lets operators through.
        :returns: the routes.
        """
        operator = Role.OPERATOR
        one = '/v1/catalogue/{entry_id}'
        policy = '/v1/policy'
        return [
            Route('/v1/catalogue', gate.allow(self.get_all, operator)),
            Route(one, gate.allow(self.get, operator)),
            Route(one, gate.allow(self.put, operator), methods=['PUT']),
            Route(one, gate.allow(self.delete, operator), methods=['DELETE']),
            Route(
                f'{one}/validation',
                gate.allow(self.validate, operator),
                methods=['POST'],
            ),
            Route(policy, gate.allow(self.get_policy, operator)),
            Route(
                policy,
                gate.allow(self.put_policy, operator),
                methods=['PUT'],
            ),
        ]

    async def get_all(self, request: Request, identity: Identity) -> Response:
        """List the entries in force.

        :param request: the call.
        :param identity: the operator.
        :returns: every entry with its version.
        """
        entries = [
            _versioned(item) for item in self._ledger.catalogue.entries()
        ]
        offset = self._ledger.offset
        return replies.json_reply({'offset': offset, 'entries': entries})

    async def get(self, request: Request, identity: Identity) -> Response:
        """Show one entry.

        :param request: the call.
        :param identity: the operator.
        :returns: the entry with its version.
        """
        entry_id = request.path_params['entry_id']
        entry = self._ledger.catalogue.get(entry_id)
        if entry is None:
            finding = Finding('entry_id', 'no such entry')
            return replies.invalid((finding,), replies.NOT_FOUND)
        version = self._ledger.catalogue.version(entry_id)
        return replies.json_reply(_versioned(Versioned(version, entry)))

    async def put(self, request: Request, identity: Identity) -> Response:
        """Publish an entry or change it.

        :param request: the call, with a change document.
        :param identity: the operator.
        :returns: the version in force, or every finding.
        """
        entry_id = request.path_params['entry_id']
        document: ChangeDocument = await read_document(request, ChangeDocument)
        entry = read_entry(entry_id, document['entry'], 'entry')
        record = EntryChanged(
            entry_id, document['expected_version'], entry, identity.name
        )
        return await self._change(record, entry)

    async def delete(self, request: Request, identity: Identity) -> Response:
        """Withdraw an entry.

        :param request: the call; ``expected_version`` is the one seen.
        :param identity: the operator.
        :returns: the version in force.
        """
        name = 'expected_version'
        expected = read_number(request.query_params.get(name, ''), name)
        entry_id = request.path_params['entry_id']
        record = EntryChanged(entry_id, expected, None, identity.name)
        return await self._change(record, None)

    async def validate(self, request: Request, identity: Identity) -> Response:
        """Check an entry against the catalogue without a change.

        :param request: the call, with a change document.
        :param identity: the operator.
        :returns: every finding; none if it would be accepted now.
        """
        entry_id = request.path_params['entry_id']
        document: ChangeDocument = await read_document(request, ChangeDocument)
        entry = read_entry(entry_id, document['entry'], 'entry')
        findings = self._findings(entry)
        if findings:
            return replies.invalid(findings)
        return replies.json_reply({'findings': []})

    async def get_policy(
        self, request: Request, identity: Identity
    ) -> Response:
        """Show the settings of placement.

        :param request: the call.
        :param identity: the operator.
        :returns: the settings with their version.
        """
        catalogue = self._ledger.catalogue
        return replies.json_reply(
            {
                'version': catalogue.policy_version,
                'policy': catalogue.policy._asdict(),
            }
        )

    async def put_policy(
        self, request: Request, identity: Identity
    ) -> Response:
        """Change the settings of placement.

        :param request: the call, with a policy change document.
        :param identity: the operator.
        :returns: the version in force, or every finding.
        """
        document: PolicyChangeDocument = await read_document(
            request, PolicyChangeDocument
        )
        policy = read_policy(document['policy'])
        expected = document['expected_version']
        record = PolicyChanged(expected, policy, identity.name)
        return await self._commit(record)

    async def _change(
        self, record: EntryChanged, entry: Entry | None
    ) -> Response:
        if entry is not None:
            findings = self._findings(entry)
            if findings:
                return replies.invalid(findings, replies.UNPROCESSABLE)
        return await self._commit(record)

    def _findings(self, entry: Entry) -> tuple[Finding, ...]:
        proposal = propose(
            self._ledger.catalogue,
            self._ledger.virtual_cells,
            entry.entry_id,
            entry,
            self._ledger.time_ms,
        )
        return proposal.findings

    async def _commit(self, record: Record) -> Response:
        try:
            verdict = await self._journal.commit(record, COMMIT_S)
        except LogUnavailableError:
            return replies.not_run(
                'the log is down', retry_after_ms=RETRY_AFTER_MS
            )
        except OutcomeUnknownError:
            return replies.unknown('the log did not answer; look again')
        if not verdict.accepted:
            return replies.not_run(verdict.reason, replies.CONFLICT)
        return _in_force(verdict)


def _in_force(verdict: Verdict) -> Response:
    content = {'version': verdict.version, 'offset': verdict.offset}
    return replies.json_reply(content)


def _versioned(item: Versioned) -> dict[str, object]:
    if item.entry is None:
        return {'version': item.version}
    return {
        'entry_id': item.entry.entry_id,
        'version': item.version,
        'entry': entry_document(item.entry),
    }
