"""One size of the ledger, weighed and timed in a fresh process, as JSON."""

import importlib
import sys

import msgspec

ENTRY_MODULES = (
    'anyio._backends._asyncio',
    'httpx',
    'hypercorn.asyncio',
    'starlette.applications',
    'thrift.protocol.TCompactProtocol',
    'prometheus_client',
    'pythonjsonlogger.json',
    'swifthoist_core.ledger',
    'swifthoist_core.reports',
    'swifthoist_core.burn',
    'swifthoist_core.planner',
)
"""What an entry instance imports."""


def main(name: str) -> None:
    """Weigh a size before the bench's own imports, then time records."""
    for module in ENTRY_MODULES:
        importlib.import_module(module)
    state = importlib.import_module('control_state')
    builder, built = state.weigh(state.SIZES[name])
    costs = importlib.import_module('control_costs')
    found = tuple(costs.record_costs(builder, state.SIZES[name]))
    key_bytes = costs.key_bytes(builder)
    report = (built, found, key_bytes, costs.loop_ns())
    sys.stdout.write(msgspec.json.encode(report).decode())


if __name__ == '__main__':
    main(sys.argv[1])
