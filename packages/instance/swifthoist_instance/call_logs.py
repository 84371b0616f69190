"""What is logged of callers' calls."""

import logging

from swifthoist_engine.catalogue import Catalogue
from swifthoist_engine.records import Record, Submitted
from swifthoist_instance.messages import Answer, Call

MAX_LOGGED_STEPS = 16
"""Most steps of a job that are logged when it is accepted, and most
dependencies of each."""

_log = logging.getLogger(__name__)


def log_rejected(
    call: Call, answer: Answer, catalogue: Catalogue | None
) -> None:
    """Log a call that was rejected.

    :param call: the call.
    :param answer: its answer.
    :param catalogue: the configuration that it was judged by, if any is known.
    """
    fields = {
        'job': call.job,
        'method': call.method,
        'path': call.path,
        'status': answer.status,
        'version': catalogue.version if catalogue else None,
        'relayed': call.relayed,
    }
    _log.info('call rejected', extra=fields)


def job_fields(record: Record) -> dict[str, object]:
    """Return the log fields that describe a submitted job.

    :param record: a record of a caller's call.
    :returns: the fields; none if it submits no job.
    """
    if not isinstance(record, Submitted):
        return {}
    spec = record.spec
    return {
        'team': spec.team,
        'queue': spec.queue,
        'priority': spec.terms.priority,
        'slack': spec.terms.slack,
        'objective_ms': spec.terms.objective_ms,
        'steps': [
            {
                'tasks': step.width,
                'need': step.need,
                'estimate_ms': step.estimate_ms,
                'gang': step.gang,
                'after': step.depends_on[:MAX_LOGGED_STEPS],
            }
            for step in spec.steps[:MAX_LOGGED_STEPS]
        ],
        'step_count': len(spec.steps),
    }
