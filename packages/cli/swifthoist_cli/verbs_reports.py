"""Verbs that report, and show the state of instances."""

from swifthoist_cli.output import print_json, print_table, print_text
from swifthoist_cli.rendering import burn_text, usage_text
from swifthoist_cli.verbs import Verbs, verb


class ReportVerbs(Verbs):
    """Verbs for managers and operators."""

    @verb
    def report(
        self, owner: str | None = None, month: str | None = None
    ) -> None:
        """Report use, waiting and refusals.

        :param owner: one team only.
        :param month: one month only, as 2026-12.
        """
        content = self._api().get('/v1/reports/usage', owner=owner, month=month)
        if self._json:
            print_json(content)
            return
        print_text(usage_text(content))

    @verb
    def burn(self, owner: str | None = None) -> int:
        """Report service-level burn; the exit code is the worst alert.

        :param owner: one team only.
        :returns: 0 for no alert, greater for a worse one.
        """
        content = self._api().get('/v1/reports/burn', owner=owner)
        if self._json:
            print_json(content)
        else:
            print_text(burn_text(content))
        return int(content['exit_code'])

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
