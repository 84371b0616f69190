"""Tests that the pages on the API and the settings match the code."""

import itertools
import re
import unittest
import unittest.mock
from pathlib import Path
from typing import Any

from swifthoistd.api_catalogue import CatalogueApi
from swifthoistd.api_jobs import JobApi
from swifthoistd.api_reports import ReportApi
from swifthoistd.api_requests import RequestApi
from swifthoistd.api_status import StatusApi
from swifthoistd.callers import Gatekeeper
from swifthoistd.settings import OPTIONS
from tests.programs import SECRET

DOCS = Path(__file__).parents[2] / 'docs'
ROUTE = re.compile(r'^\| `([A-Z]+) (/\S+)` \|', re.MULTILINE)
SETTING = re.compile(
    r'^\| `(--\S+)` \| `(SWIFTHOISTD_\w+)` \| (.*?) \|', re.MULTILINE
)


class PagesTest(unittest.TestCase):
    """What operators and callers read is what the program does."""

    def test_every_route_is_on_the_page_and_no_other(self) -> None:
        """Methods and paths are compared."""
        part: Any = unittest.mock.MagicMock()
        apis = (
            CatalogueApi(part, part),
            JobApi(part, part),
            ReportApi(part, part),
            RequestApi(part, part, part, part, part),
            StatusApi(part, part, part, part, part, part, part, part),
        )
        gate = Gatekeeper(SECRET)
        routes = itertools.chain.from_iterable(api.routes(gate) for api in apis)
        served = {
            (method, route.path.replace('{class_name}', '{class}'))
            for route in routes
            for method in (route.methods or set()) - {'HEAD'}
        }
        written = set(ROUTE.findall((DOCS / 'API.md').read_text()))
        self.assertEqual(written, served)

    def test_every_setting_is_on_the_page_with_its_default(self) -> None:
        """Flags, variables and defaults are compared."""
        words = {None: 'must be given', '': 'empty'}
        known = {
            (
                option.flag,
                option.variable,
                words.get(option.default) or option.default,
            )
            for option in OPTIONS
        }
        text = (DOCS / 'OPERATIONS.md').read_text()
        self.assertEqual(set(SETTING.findall(text)), known)
