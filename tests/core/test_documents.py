"""Tests of documents from outside."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core import documents
from swifthoist_core.catalogue import Entry, Limits, Objective, Urgency, Work
from swifthoist_core.errors import InvalidInputError
from swifthoist_core.shapes import Adjacency, GuaranteedShape, Shape

_shapes = st.builds(
    Shape,
    st.integers(1, 128),
    st.integers(0, 64),
    st.integers(0, 100),
    st.integers(0, 100_000),
    st.sampled_from(Adjacency),
)
_entries = st.builds(
    Entry,
    st.just('entry-a'),
    st.sampled_from(['team-a', 'b']),
    st.just('sort'),
    st.just(Work.JOB),
    st.sampled_from(Urgency),
    st.builds(
        Limits,
        st.floats(0.5, 1_000),
        st.integers(1, 100),
        st.integers(1, 100),
        st.integers(0, 100),
        st.integers(1, 100_000),
    ),
    st.builds(Objective, st.floats(0.1, 0.99), st.integers(1, 9_000)),
    guarantee=st.lists(
        st.builds(GuaranteedShape, _shapes, st.integers(1, 9)), max_size=3
    ).map(tuple),
    service=st.just(''),
)


class EntryDocumentTest(unittest.TestCase):
    """Entries are read back as written, or refused with every finding."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(_entries)
    def test_an_entry_is_read_back_as_it_was_written(
        self, entry: Entry
    ) -> None:
        """Writing and reading an entry changes nothing."""
        document = documents.entry_document(entry)
        self.assertEqual(documents.read_entry('entry-a', document), entry)

    def test_every_finding_is_reported_with_its_place(self) -> None:
        """One answer names all that is wrong, down to nested fields."""
        document = {
            'owner': 'Team A',
            'work': 'job',
            'limits': {'rate_per_s': -1, 'speed': 3},
            'guarantee': [
                {'shape': {'parts': 1, 'accelerators': 8}},
                {'shape': {'parts': 0, 'accelerators': 'many'}},
            ],
            'colour': 'blue',
        }
        with self.assertRaises(InvalidInputError) as caught:
            documents.read_entry('entry-a', document)
        places = {finding.place for finding in caught.exception.findings}
        self.assertEqual(
            places,
            {
                'colour',
                'class_name',
                'owner',
                'limits.speed',
                'limits.rate_per_s',
                'guarantee[1].shape.parts',
                'guarantee[1].shape.accelerators',
            },
        )

    def test_a_request_entry_without_a_service_is_refused(self) -> None:
        """Requests need runners to answer them."""
        document = {'owner': 'a', 'class_name': 'check', 'work': 'request'}
        with self.assertRaises(InvalidInputError) as caught:
            documents.read_entry('entry-a', document)
        self.assertEqual(caught.exception.findings[0].place, 'service')
