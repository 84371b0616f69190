"""The command line, as fire shows it."""

import sys
from collections.abc import Iterator

import anyio
import httpx

from swifthoist_cli import demo as demo_play
from swifthoist_cli.demo_scene import read_scene
from swifthoist_cli.inputs import (
    read_caller,
    read_json_file,
    read_number,
    read_target,
)
from swifthoist_cli.load import LoadPlan, LoadSummary, Progress, play
from swifthoist_cli.output import ExitCode, print_json, print_text
from swifthoist_cli.rendering import Format, render
from swifthoist_cli.verbs import verb
from swifthoist_cli.verbs_catalogue import CatalogueVerbs
from swifthoist_cli.verbs_jobs import JobVerbs
from swifthoist_cli.verbs_reports import ReportVerbs
from swifthoist_core.errors import Finding, InvalidInputError
from swifthoist_core.plain import plain_of
from swifthoist_core.tokens import make_token
from swifthoist_standins import processes


class Commands(CatalogueVerbs, JobVerbs, ReportVerbs):
    """swifthoist: drive and watch the scheduler.

    --url (SWIFTHOIST_URL) names entry instances, separated by commas, and
    --token (SWIFTHOIST_TOKEN) says who calls. --json prints documents.

    Exit codes: 0 done, 1 refused, 2 wrong usage or input, 3 no instance
    reached (nothing was done), 4 outcome unknown.
    """

    @verb
    def token(self, role: str, name: str, secret: str) -> None:
        """Make the token of an operator or owner.

        :param role: ``operator`` or ``owner``.
        :param name: name of the operator or id of the owner.
        :param secret: the key that the instances were given.
        """
        print_text(make_token(secret, read_caller(role, name, secret)))

    @verb
    def standins(self, kind: str, **options: object) -> None:
        """Run stand-ins for the platform in the foreground.

        :param kind: log, instances, workers, runners or all.
        :param options: settings, such as --workers=24.
        """
        try:
            anyio.run(processes.run, kind, options)
        except InvalidInputError:
            raise
        except ExceptionGroup as group:
            findings = [Finding(kind, str(exc)) for exc in _bind_errors(group)]
            raise InvalidInputError.of('stand-ins', findings) from group

    @verb
    def load(
        self,
        mix: str,
        rate: float = 10,
        total: int = 100,
        seconds: float = 30,
        allow_remote: bool = False,
    ) -> None:
        """Play a user's mix against the instances at --url, open loop.

        :param mix: pilha-certa or saltamontes.
        :param rate: requests and jobs a second.
        :param total: at most so many in all.
        :param seconds: send for no longer, in seconds.
        :param allow_remote: send beyond loopback as well.
        """
        target = read_target(self._url, self._token)
        addresses = tuple(url.partition('://')[2] for url in target.urls)
        plan = LoadPlan(
            addresses,
            target.token,
            mix,
            read_number('rate', rate),
            int(read_number('total', total)),
            read_number('seconds', seconds),
            allow_remote,
        )
        print_json(plain_of(anyio.run(_play_load, plan)))

    @verb
    def demo(self, scene: str) -> int:
        """Play the demo's load against running instances and check it.

        :param scene: file that scripts/demo.py wrote.
        :returns: 0 if every promise was kept, else 1.
        """
        played = anyio.run(demo_play.play, read_scene(read_json_file(scene)))
        for report, table in played.summary():
            print_text(render(report, Format.TEXT, table))
        broken = False
        for check in played.checks:
            mark = 'BROKEN' if check.broken else 'kept'
            print_text(f'{mark}: {check.promise} ({check.seen} seen)')
            for detail in check.broken:
                print_text(f'  {detail}')
            broken = broken or bool(check.broken)
        return ExitCode.REFUSED if broken else ExitCode.OK


def _bind_errors(group: ExceptionGroup[Exception]) -> Iterator[Exception]:
    """Find why listeners could not be opened.

    :raises ExceptionGroup: when anything else failed.
    """
    for exc in group.exceptions:
        match exc:
            case ExceptionGroup():
                yield from _bind_errors(exc)
            case OSError() | OverflowError():
                yield exc
            case _:
                raise group


async def _play_load(plan: LoadPlan) -> LoadSummary:
    limits = httpx.Limits(max_connections=plan.in_flight)
    async with httpx.AsyncClient(limits=limits, trust_env=False) as http:
        return await play(plan, http, _print_progress)


def _print_progress(progress: Progress) -> None:
    sys.stderr.write(f'{progress.ended} of {progress.scheduled}\n')
