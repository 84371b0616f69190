"""Commands of the command line, which fire exposes."""

import csv
import sys
from pathlib import Path
from typing import Any

import anyio

from swifthoist_cli.command_base import CommandBase, command
from swifthoist_cli.inputs import read_file, read_job_id
from swifthoist_cli.output import (
    print_json,
    print_table,
    print_text,
)
from swifthoist_core.errors import raise_findings
from swifthoist_emulator.stage import emulate_platform
from swifthoist_platform.documents import decode_catalogue
from swifthoist_platform.job_calls import decode_job

_JOB_COLUMNS = ('job', 'queue', 'team', 'state', 'running')
_USAGE_COLUMNS = (
    'month',
    'team',
    'queue',
    'accelerator_s',
    'wasted_s',
    'core_s',
    'vain',
    'prompt',
    'tardy',
    'jobs',
)
_SPAN_COLUMNS = (
    'team',
    'queue',
    'runner',
    'accelerators',
    'began_ms',
    'ended_ms',
    'ending',
)
_ZONE_COLUMNS = ('zone', 'since_ms', 'runners', 'runs')
_SPEED_COLUMNS = (
    'runner',
    'machine',
    'kind',
    'rack',
    'speed',
    'factor',
    'runs',
)
_BURN_COLUMNS = ('queue', 'long_ms', 'long_rate', 'short_rate', 'severity')


class Commands(CommandBase):
    """swifthoist: operate and monitor the scheduler.

    --url (SWIFTHOIST_URL) sets the internal addresses of instances,
    separated by commas. --json prints JSON instead of tables.

    Exit codes: 0 success, 1 refused, 2 invalid usage or input, 3 no
    instance reachable (no effect), 4 outcome unknown.
    """

    @command
    def state(self) -> None:
        """Show settings and state of an instance, for bug reports."""
        print_json(self._api().call('GET', '/v1/state'))

    @command
    def jobs(self) -> None:
        """List the newest jobs."""
        self._print_rows(self._api().call('GET', '/v1/jobs'), _JOB_COLUMNS)

    @command
    def job(self, job_id: str) -> None:
        """Show a job: its tasks, runs, failures and runners.

        :param job_id: 16 hexadecimal digits.
        """
        path = f'/v1/jobs/{read_job_id(job_id)}'
        print_json(self._api().call('GET', path))

    @command
    def submit(self, job_id: str, file: str) -> None:
        """Submit a job; the command may be repeated.

        :param job_id: 16 hexadecimal digits, chosen by the caller.
        :param file: path of the job, as JSON.
        """
        path = f'/v1/jobs/{read_job_id(job_id)}'
        print_json(self._api().call('POST', path, read_file(file)))

    @command
    def cancel(self, job_id: str) -> None:
        """Cancel a job.

        :param job_id: 16 hexadecimal digits.
        """
        path = f'/v1/jobs/{read_job_id(job_id)}'
        print_json(self._api().call('DELETE', path))

    @command
    def usage(self, month: str = '', team: str = '', csv: bool = False) -> None:
        """Report accelerator usage, and which guarantees were met.

        :param month: one month only, as 2026-12.
        :param team: one team only.
        :param csv: print comma-separated values.
        """
        params = {'month': month, 'team': team}
        rows = self._api().call('GET', '/v1/usage', params=params)
        if csv:
            _print_csv(rows, _USAGE_COLUMNS)
        else:
            self._print_rows(rows, _USAGE_COLUMNS)
            self._note_evacuated()

    @command
    def spans(self, team: str = '') -> None:
        """List the newest runs, with their accelerators, start and end.

        :param team: one team only.
        """
        rows = self._api().call('GET', '/v1/spans', params={'team': team})
        self._print_rows(rows, _SPAN_COLUMNS)

    @command
    def zones(self) -> None:
        """List the evacuated zones, since when, and what still runs there."""
        self._print_rows(self._api().call('GET', '/v1/zones'), _ZONE_COLUMNS)

    @command
    def speeds(self) -> None:
        """List the speed of each runner, the fastest first."""
        self._print_rows(self._api().call('GET', '/v1/speeds'), _SPEED_COLUMNS)

    @command
    def burn(self) -> int:
        """Report the burn rates of error budgets.

        :returns: 0 for no alert, 1 for a ticket, 2 for a page.
        """
        rows = self._api().call('GET', '/v1/burn')
        self._print_rows(rows, _BURN_COLUMNS)
        return max((row['severity'] for row in rows), default=0)

    @command
    def validate(self, file: str, kind: str = 'job') -> None:
        """Check a document, and print every finding with its location.

        :param file: path of the document.
        :param kind: ``job`` or ``config``, as the platform's callers and
            operators write them.
        """
        content = read_file(file)
        decoded: Any = decode_job(content)
        if kind == 'config':
            decoded = decode_catalogue(content)
        raise_findings(file, decoded.findings)
        print_text(f'{file}: no findings')

    @command
    def emulate(self, folder: str, instances: int = 3) -> None:
        """Run an emulated platform in the foreground.

        :param folder: folder to write the instances' settings files to.
        :param instances: number of instances to write settings for.
        """
        anyio.run(emulate_platform, Path(folder), int(instances), print_text)

    def _note_evacuated(self) -> None:
        """Print the evacuated zones, whose capacity is out of use."""
        rows = [] if self._json else self._api().call('GET', '/v1/zones')
        if rows:
            print_text('evacuated zones')
            print_table(rows, _ZONE_COLUMNS)

    def _print_rows(
        self, rows: list[dict[str, object]], columns: tuple[str, ...]
    ) -> None:
        if self._json:
            print_json(rows)
        else:
            print_table(rows, columns)


def _print_csv(rows: list[dict[str, object]], columns: tuple[str, ...]) -> None:
    writer = csv.DictWriter(sys.stdout, columns, extrasaction='ignore')
    writer.writeheader()
    writer.writerows(rows)
