"""Tests of reports as text, JSON, CSV and a page."""

import csv
import html
import io
import json
import unittest
from collections import Counter
from html.parser import HTMLParser

from swifthoist_cli.pages import usage_page
from swifthoist_cli.rendering import Format, render
from swifthoist_core import records
from swifthoist_core.burn import BurnReport, burn_report
from swifthoist_core.errors import InvalidInputError
from swifthoist_core.records import PartPlacement, PartUsage, Tally
from swifthoist_core.reports import UsageReport, usage_report
from swifthoist_core.shapes import Shape
from tests.core.builders import Book, job_entry, spec

NASTY = '<script src="http://evil.example/x.js">&"\''
HARMLESS_TAGS = set(
    'html head meta title style body h1 h2 p b svg rect text details summary '
    'table tr th td'.split()
)
HARMLESS_ATTRIBUTES = set(
    'lang charset http-equiv content style viewbox width height role x y '
    'fill fill-opacity font-size'.split()
)
FORMULA = '=HYPERLINK("http://evil.example")'


def reports(owner: str) -> tuple[UsageReport, BurnReport]:
    """Build both reports about an owner of any name."""
    book = Book().staffed(workers=1)
    book.publish(job_entry(owner))
    place = (PartPlacement('w0', 0, 8),)
    for job_id in ('j1', NASTY):
        shape = Shape(1, 8)
        book.append(records.JobSubmitted(spec(job_id, owner, shape), job_id))
        book.append(records.JobPlaced(1, job_id, 1, place, True))
        use = PartUsage(0, 'w0', 8, book.now_ms, book.now_ms + 5_000)
        book.now_ms += 5_000
        book.append(records.JobEnded(1, job_id, 1, 'done', (use,)))
    tally = Tally(owner, 'sort', 3, 1, 0, {NASTY: 2}, {127: 4})
    book.append(records.RequestsCounted((tally,)))
    return usage_report(book.ledger), burn_report(book.ledger)


class Reader(HTMLParser):
    """Collects the elements, attributes and styles of a page."""

    def __init__(self) -> None:
        """Start with nothing read."""
        super().__init__()
        self.tags: Counter[str] = Counter()
        self.attributes: dict[str, str] = {}
        self.styles: list[str] = []

    def handle_starttag(self, tag: str, attrs: list) -> None:
        """Note an element and add its attributes up."""
        self.tags[tag] += 1
        for name, value in attrs:
            self.attributes[name] = self.attributes.get(name, '') + value

    def handle_data(self, data: str) -> None:
        """Note what is in a style element."""
        if self.cdata_elem == 'style':
            self.styles.append(data)


class PageTest(unittest.TestCase):
    """The page opens without a network and trusts no name."""

    def test_the_page_refers_to_nothing_outside(self) -> None:
        """Every element and attribute is one that loads nothing."""
        reader = Reader()
        reader.feed(usage_page(*reports(NASTY)))
        self.assertEqual(reader.tags['svg'], 3)
        self.assertLessEqual(set(reader.tags), HARMLESS_TAGS)
        self.assertLessEqual(set(reader.attributes), HARMLESS_ATTRIBUTES)
        for text in (*reader.attributes.values(), *reader.styles):
            for mark in ('//', 'url(', '@import', 'javascript:'):
                self.assertNotIn(mark, text)

    def test_names_are_escaped_everywhere(self) -> None:
        """A name that is markup stays a name."""
        page = usage_page(*reports(NASTY))
        self.assertNotIn('<script', page)
        self.assertIn('&lt;script', page)
        self.assertIn(NASTY, html.unescape(page))


class RenderingTest(unittest.TestCase):
    """Every form holds the same figures."""

    def test_json_names_every_field(self) -> None:
        """The objects can be read without knowing an order of fields."""
        usage, burn = reports('a')
        read = json.loads(render(usage, Format.JSON))
        self.assertEqual(read['offset'], usage.offset)
        self.assertEqual(read['lines'][0]['borrowed_s'], 80)
        self.assertEqual(read['lines'][0]['waits'], {'0': 2, '127': 4})
        self.assertEqual(read['spans'][1]['job_id'], NASTY)
        read = json.loads(render(burn, Format.JSON))
        self.assertEqual(read['exit_code'], burn.exit_code)

    def test_csv_reads_back_and_holds_no_formula(self) -> None:
        """A spreadsheet sees the name of an owner as text."""
        usage, _ = reports(FORMULA)
        text = render(usage, Format.CSV, 'totals')
        row = next(csv.DictReader(io.StringIO(text)))
        self.assertEqual(row['owner'], f"'{FORMULA}")
        self.assertEqual(float(row['borrowed s']), 80)

    def test_text_shows_figures_and_offset(self) -> None:
        """A line break in a name cannot fake a row."""
        usage, burn = reports('a\nb')
        text = render(usage, Format.TEXT)
        self.assertIn(f'holds to offset {usage.offset}', text)
        self.assertIn('a b', text)
        self.assertIn('80', render(usage, Format.TEXT, 'totals'))
        self.assertIn(f'exit code {burn.exit_code}', render(burn, Format.TEXT))

    def test_an_unknown_table_is_refused_with_the_names(self) -> None:
        """The finding lists what there is."""
        usage, _ = reports('a')
        with self.assertRaises(InvalidInputError) as caught:
            render(usage, Format.CSV, 'nonsense')
        self.assertIn('totals', caught.exception.findings[0].problem)
