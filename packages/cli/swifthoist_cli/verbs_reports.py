"""Verbs that report, and show the state of instances."""

from swifthoist_cli.inputs import write_file
from swifthoist_cli.output import (
    ExitCode,
    print_json,
    print_table,
    print_text,
)
from swifthoist_cli.pages import usage_page
from swifthoist_cli.rendering import Format, render
from swifthoist_cli.verbs import Verbs, verb
from swifthoist_core.burn import BurnReport
from swifthoist_core.errors import Finding, InvalidInputError
from swifthoist_core.reports import UsageReport

USAGE = '/v1/reports/usage'
BURN = '/v1/reports/burn'
_DIFFERENCE_COLUMNS = (
    'job_id',
    'attempt',
    'part',
    'worker',
    'mismatch',
    'accounted_ms',
    'reported_ms',
    'estimated',
)


class ReportVerbs(Verbs):
    """Verbs for managers and operators."""

    @verb
    def report(
        self,
        owner: str | None = None,
        month: str | None = None,
        form: str = 'text',
        table: str = '',
        html: str = '',
    ) -> None:
        """Report use, waiting and refusals.

        :param owner: one team only.
        :param month: one month only, as 2026-12.
        :param form: text, json or csv.
        :param table: one table only; a CSV file holds one.
        :param html: file for one page with plots, instead of text.
        """
        chosen = self._form(form)
        usage = self._api().get_report(
            USAGE, UsageReport, owner=owner, month=month
        )
        if html:
            burn = self._api().get_report(BURN, BurnReport, owner=owner)
            write_file(html, usage_page(usage, burn))
            print_text(f'wrote {html}')
            return
        print_text(render(usage, chosen, table).rstrip('\n'))

    @verb
    def burn(
        self, owner: str | None = None, form: str = 'text', table: str = ''
    ) -> int:
        """Report service-level burn; the exit code is the worst alert.

        :param owner: one team only.
        :param form: text, json or csv.
        :param table: one table only; a CSV file holds one.
        :returns: 0 for no alert, 1 for a ticket, 2 for a page.
        """
        chosen = self._form(form)
        burn = self._api().get_report(BURN, BurnReport, owner=owner)
        print_text(render(burn, chosen, table).rstrip('\n'))
        return burn.exit_code

    @verb
    def differences(self) -> int:
        """Show where the account differs from what workers report.

        :returns: 0 if there is no difference, else 1.
        """
        content = self._api().get('/v1/reports/differences')
        if self._json:
            print_json(content)
            return ExitCode.OK
        found = [{**item, **item['key']} for item in content['differences']]
        print_table(found, _DIFFERENCE_COLUMNS)
        return ExitCode.REFUSED if found else ExitCode.OK

    @verb
    def instances(self) -> None:
        """List the entry instances."""
        content = self._api().get('/v1/instances')
        if self._json:
            print_json(content)
            return
        columns = ('instance', 'zone', 'state', 'offset', 'holds_epoch')
        print_table(content['instances'], columns)

    @verb
    def debug(self) -> None:
        """Show settings and state of an instance, for a bug report."""
        print_json(self._api().get('/v1/debug'))

    def _form(self, form: str) -> Format:
        if self._json:
            return Format.JSON
        if form not in set(Format):
            finding = Finding('--form', f'must be one of {", ".join(Format)}')
            raise InvalidInputError.of('report', (finding,))
        return Format(form)
