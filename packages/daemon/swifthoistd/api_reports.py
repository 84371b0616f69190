"""HTTP API of the reports."""

import re

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from swifthoist_core.burn import BurnReport, burn_report
from swifthoist_core.errors import Finding
from swifthoist_core.ledger import Ledger
from swifthoist_core.reports import UsageReport, usage_report
from swifthoist_core.tokens import Identity, Role
from swifthoistd import replies
from swifthoistd.callers import Gatekeeper
from swifthoistd.usage import Reconciler

MSGPACK = 'application/msgpack'

_MONTH = re.compile(r'\d{4}-(0[1-9]|1[0-2])')


class ReportApi:
    """Answers who got what, and how service levels stand.

    The same question at the same offset has the same answer anywhere.
    """

    def __init__(self, ledger: Ledger, reconciler: Reconciler) -> None:
        """Wire the parts.

        :param ledger: the state.
        :param reconciler: compares the account with the workers.
        """
        self._ledger = ledger
        self._reconciler = reconciler

    def routes(self, gate: Gatekeeper) -> list[Route]:
        """The routes of this part of the API.

        :param gate: lets callers through.
        :returns: the routes.
        """
        both = (Role.OWNER, Role.OPERATOR)
        return [
            Route('/v1/reports/usage', gate.allow(self.usage, *both)),
            Route('/v1/reports/burn', gate.allow(self.burn, *both)),
            Route(
                '/v1/reports/differences',
                gate.allow(self.differences, Role.OPERATOR),
            ),
        ]

    async def usage(self, request: Request, identity: Identity) -> Response:
        """Report use, waiting and refusals.

        :param request: the call; ``owner`` and ``month`` narrow it.
        :param identity: an owner, who sees its own, or an operator.
        :returns: the report with the offset it holds to.
        """
        month = request.query_params.get('month')
        if month is not None and not _MONTH.fullmatch(month):
            finding = Finding('month', 'must be such as 2026-12')
            return replies.invalid((finding,))
        owner = _owner_asked(request, identity)
        return _reply(request, usage_report(self._ledger, owner, month))

    async def burn(self, request: Request, identity: Identity) -> Response:
        """Report how error budgets are spent.

        :param request: the call; ``owner`` narrows it.
        :param identity: an owner, who sees its own, or an operator.
        :returns: the report with the offset it holds to.
        """
        owner = _owner_asked(request, identity)
        return _reply(request, burn_report(self._ledger, owner))

    async def differences(
        self, request: Request, identity: Identity
    ) -> Response:
        """Show where the account differs from the workers' reports.

        :param request: the call.
        :param identity: the operator.
        :returns: every difference, with the offset that it holds to.
        """
        offset = self._ledger.offset
        found = await self._reconciler.differences()
        content = {'offset': offset, 'differences': found}
        return replies.json_reply(content)


def _reply(request: Request, report: UsageReport | BurnReport) -> Response:
    """Reply in msgpack, field by field in order, if the caller wants that."""
    if request.headers.get('accept') != MSGPACK:
        return replies.json_reply(report)
    return Response(msgspec.msgpack.encode(report), media_type=MSGPACK)


def _owner_asked(request: Request, identity: Identity) -> str | None:
    if identity.role is Role.OWNER:
        return identity.name
    return request.query_params.get('owner')
