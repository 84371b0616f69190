"""Verbs that submit, follow and cancel jobs."""

from typing import Any

from swifthoist_cli.inputs import read_id, read_json_file
from swifthoist_cli.output import ExitCode, print_json, print_table, print_text
from swifthoist_cli.verbs import Verbs, verb

_WAIT_MS = 10_000
_ENDED = frozenset(('done', 'failed', 'cancelled', 'refused', 'unknown'))
_JOB_COLUMNS = ('job_id', 'owner', 'class_name', 'status', 'reason')


class JobVerbs(Verbs):
    """Verbs for owners."""

    @verb
    def submit(self, file: str) -> None:
        """Submit a job.

        :param file: JSON of the job.
        """
        job = self._api().call('POST', '/v1/jobs', read_json_file(file))
        self._print_job(job)

    @verb
    def job(self, job_id: str) -> None:
        """Show a job.

        :param job_id: id of the job.
        """
        self._print_job(self._api().get(_path_of(job_id)))

    @verb
    def jobs(self) -> None:
        """List jobs."""
        content = self._api().get('/v1/jobs')
        if self._json:
            print_json(content)
            return
        print_table(content['jobs'], _JOB_COLUMNS)

    @verb
    def follow(self, job_id: str) -> int:
        """Follow a job to its end; the exit code tells whether it is done.

        :param job_id: id of the job.
        :returns: 0 if it is done, else 1.
        """
        job = self._api().get(_path_of(job_id))
        self._print_job(job)
        while job['status'] not in _ENDED:
            now = self._api().get(_path_of(job_id), wait_ms=_WAIT_MS)
            if now['status'] != job['status']:
                self._print_job(now)
            job = now
        done = job['status'] == 'done'
        return ExitCode.OK if done else ExitCode.REFUSED

    @verb
    def cancel(self, job_id: str) -> None:
        """Take a job back.

        :param job_id: id of the job.
        """
        self._print_job(self._api().call('DELETE', _path_of(job_id)))

    @verb
    def explain(self, job_id: str) -> None:
        """Tell why a job waits.

        :param job_id: id of the job.
        """
        print_json(self._api().get(f'{_path_of(job_id)}/explanation'))

    def _print_job(self, job: dict[str, Any]) -> None:
        if self._json:
            print_json(job)
            return
        reason = f' ({job["reason"]})' if job['reason'] else ''
        print_text(f'{job["job_id"]}: {job["status"]}{reason}')


def _path_of(job_id: str) -> str:
    return f'/v1/jobs/{read_id("job_id", job_id)}'
