"""Tests of decoding the documents of operators, runners and callers."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core.errors import InvalidInputError
from swifthoist_emulator.site import (
    STANDARD,
    write_config,
    write_settings,
    write_wave,
)
from swifthoist_platform import names
from swifthoist_platform.boot import decode_boot_settings
from swifthoist_platform.documents import (
    Wave,
    decode_catalogue,
    decode_registration,
    decode_wave,
)
from swifthoist_platform.job_calls import decode_job, is_job_id, parse_api_key
from swifthoist_platform.names import (
    ADDRESS,
    BORN,
    CAPACITY,
    COLD_LEFT_MS,
    DEPENDS_ON,
    GPU,
    LABELS,
    REMAINING_MS,
    SERVICE,
    STATE,
    STEPS,
)

REGISTRY_ENTRY = {
    SERVICE: 'pool',
    ADDRESS: '10.0.0.1:80',
    STATE: 'ready',
    CAPACITY: {GPU: 8},
    LABELS: ['a', 'rack-1'],
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
FIELD_NAMES = st.sampled_from(
    (*REGISTRY_ENTRY, STEPS, DEPENDS_ON, 'Count', 'Version')
)


class RegistrationTest(unittest.TestCase):
    """A registry entry describes a usable runner, or has findings."""

    def test_an_entry_is_decoded(self) -> None:
        """Its capacity, rack and state are read."""
        decoded = decode_registration('r', msgspec.json.encode(REGISTRY_ENTRY))
        entry = decoded.registration
        assert entry is not None
        self.assertEqual(entry.room.accelerators, 8)
        self.assertEqual(entry.rack, 'rack-1')
        self.assertFalse(entry.draining)
        self.assertEqual(entry.cold_left_ms, 0)

    def test_a_cold_runner_tells_for_how_long(self) -> None:
        """An entry whose value is no valid number is no runner."""
        for written, cold_left_ms in (
            (1_500, 1_500),
            ('long', None),
            (-1, None),
        ):
            content = msgspec.json.encode(
                {**REGISTRY_ENTRY, COLD_LEFT_MS: written}
            )
            entry = decode_registration('r', content).registration
            self.assertEqual(entry and entry.cold_left_ms, cold_left_ms)

    def test_missing_fields_other_types_and_states_name_no_runner(self) -> None:
        """Each finding names the field."""
        changes: tuple[tuple[str, object], ...] = (
            (SERVICE, None),
            (ADDRESS, 7),
            (ADDRESS, 'nowhere'),
            (ADDRESS, ''),
            (ADDRESS, '127.0.0.1:65536'),
            (ADDRESS, '127.0.0.1:0'),
            (STATE, 'resting'),
            (CAPACITY, 'large'),
        )
        for name, value in changes:
            with self.subTest(name=name, value=value):
                changed = msgspec.json.encode({**REGISTRY_ENTRY, name: value})
                decoded = decode_registration('r', changed)
                self.assertIsNone(decoded.registration)
                places = ' '.join(item.location for item in decoded.findings)
                self.assertIn(name, places)

    def test_an_id_that_no_header_carries_names_no_runner(self) -> None:
        """Every call to the runner would raise."""
        content = msgspec.json.encode(REGISTRY_ENTRY)
        for runner in ('', ' ', 'a b', 'a\n', 'caf\xe9', '\u2603', 'x' * 256):
            with self.subTest(runner=runner):
                decoded = decode_registration(runner, content)
                self.assertIsNone(decoded.registration)
                self.assertTrue(decoded.findings)

    def test_a_number_out_of_range_names_no_runner(self) -> None:
        """Of a capacity and of times alike; 2^53 is the largest that is exact."""
        cases = ('-1', '9007199254740993', '1e300', '1e400', '9' * 5_000)
        for name in (GPU, COLD_LEFT_MS, REMAINING_MS):
            for text in cases:
                number = msgspec.Raw(text.encode())
                changed = {CAPACITY: {GPU: number}}
                if name != GPU:
                    changed = {name: number}
                content = msgspec.json.encode({**REGISTRY_ENTRY, **changed})
                with self.subTest(name=name, text=text[:30]):
                    decoded = decode_registration('r', content)
                    self.assertIsNone(decoded.registration)

    def test_an_entry_that_fits_into_no_record_names_no_runner(self) -> None:
        """Its labels are recorded in one append with those of others."""
        labels = ['k' * 200_000, 'r' * 200_000]
        content = msgspec.json.encode({**REGISTRY_ENTRY, LABELS: labels})
        self.assertIsNone(decode_registration('r', content).registration)

    def test_a_birth_that_can_not_be_read_loses_no_runner(self) -> None:
        """It is a finding; the runner is used with an unknown birth."""
        for value in ('1780000000000', 1.5, -3, True, [7]):
            with self.subTest(value=value):
                changed = msgspec.json.encode({**REGISTRY_ENTRY, BORN: value})
                decoded = decode_registration('r', changed)
                assert decoded.registration is not None
                self.assertEqual(decoded.registration.born_ms, 0)
                self.assertEqual(
                    [finding.location for finding in decoded.findings], [BORN]
                )

    def test_bytes_that_can_not_be_read_name_no_runner(self) -> None:
        """They are reported as findings, not raised as errors."""
        for content in (b'', b'\xff\xfe', b'{', b'[]', b'7', b'null'):
            decoded = decode_registration('r', content)
            self.assertIsNone(decoded.registration)
            self.assertTrue(decoded.findings)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.dictionaries(FIELD_NAMES, JSON_VALUES))
    def test_no_document_ends_the_program(
        self, document: dict[str, object]
    ) -> None:
        """Decoding never raises, whatever the fields hold."""
        try:
            content = msgspec.json.encode({**REGISTRY_ENTRY, **document})
        except (msgspec.MsgspecError, ValueError):
            return
        decode_registration('r', content)
        decode_catalogue(content)
        decode_job(content)
        decode_wave(content)


class CatalogueTest(unittest.TestCase):
    """The operator's configuration."""

    def test_a_configuration_is_decoded(self) -> None:
        """The version and the guarantees of teams are read."""
        decoded = decode_catalogue(write_config(STANDARD, 7))
        catalogue = decoded.catalogue
        assert catalogue is not None
        self.assertEqual(decoded.findings, ())
        self.assertEqual(catalogue.version, 7)
        self.assertEqual(catalogue.guaranteed('red'), 24)
        self.assertEqual(catalogue.guaranteed('nobody'), 0)

    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        """An unknown host or prefix has no queue."""
        route = STANDARD.lines[0]
        inner = route._replace(name='inner', prefix='/urgent/inner/')
        site = STANDARD._replace(lines=(*STANDARD.lines, inner))
        catalogue = decode_catalogue(write_config(site, 1)).catalogue
        assert catalogue is not None
        queue = catalogue.find_queue('jobs.example', '/urgent/inner/x')
        self.assertEqual(queue and queue.name, 'inner')
        self.assertIsNone(catalogue.find_queue('other', '/urgent/x'))
        self.assertIsNone(catalogue.find_queue('jobs.example', '/none/x'))

    def test_a_version_that_can_not_be_read_is_none(self) -> None:
        """The first configuration of a process would be a wrong one."""
        for text in ('true', '"7"', '-1', '1e300', '1e400'):
            content = b'{"Version":' + text.encode() + b',"Routes":[]}'
            decoded = decode_catalogue(content)
            self.assertIsNone(decoded.catalogue, text)
            self.assertTrue(decoded.findings)

    def test_a_document_without_version_is_no_configuration(self) -> None:
        """The configuration in force stays."""
        self.assertIsNone(decode_catalogue(b'{"Routes":[]}').catalogue)


class WaveTest(unittest.TestCase):
    """A wave of upkeep."""

    def test_a_wave_is_decoded(self) -> None:
        """Its deadline is in seconds."""
        wave = decode_wave(write_wave(3, ['m'], 2, 1.5)).wave
        self.assertEqual(wave, Wave(3, ('m',), 1_500, 2))

    def test_a_document_without_number_is_no_wave(self) -> None:
        """It would be carried out as the wave 0, and told as complete."""
        for content in (
            b'{}',
            b'[' * 100_000,
            b'{"Wave":true}',
            b'{"Wave":9007199254740993}',
            b'{"Wave":1e400}',
        ):
            decoded = decode_wave(content)
            self.assertIsNone(decoded.wave)
            self.assertTrue(decoded.findings)


class JobTest(unittest.TestCase):
    """Job submissions of callers."""

    def test_all_findings_are_reported_together(self) -> None:
        """Each finding names its field."""
        decoded = decode_job(b'{"Steps":[{"DependsOn":[0]},{"Cpu":-1}]}')
        places = [finding.location for finding in decoded.findings]
        self.assertIn('steps[0].depends_on', places)
        self.assertIn('Steps[1].Cpu', places)

    def test_omitted_fields_have_their_defaults(self) -> None:
        """The default step has one task, and the job has no schedule."""
        request = decode_job(b'{"Spec":"x","Steps":[{}]}').request
        assert request is not None
        self.assertEqual(request.steps[0].width, 1)
        self.assertIsNone(request.schedule)

    def test_occurrences_are_due_at_their_times(self) -> None:
        """Each is one interval after the one before."""
        request = decode_job(
            b'{"Steps":[{}],"RepeatCount":3,"StartAtMs":10,"IntervalMs":5}'
        ).request
        assert request is not None and request.schedule is not None
        self.assertEqual(request.schedule.due_ms(2), 20)

    def test_a_job_with_too_many_tasks_is_refused(self) -> None:
        """It is refused before its tasks take any memory."""
        content = b'{"Steps":[{"Count":1000}],"RepeatCount":1000}'
        self.assertIsNone(decode_job(content).request)

    def test_a_number_that_no_record_can_hold_is_a_finding(self) -> None:
        """It would fail the append of other jobs in its batch as well."""
        content = b'{"Steps":[{"Cpu":100000000000000000000000000}]}'
        places = [item.location for item in decode_job(content).findings]
        self.assertEqual(places, ['Steps[0].Cpu'])

    def test_ids_and_keys(self) -> None:
        """An id has 16 hexadecimal digits; the key's scheme ignores case."""
        self.assertTrue(is_job_id('0123456789abcdef'))
        self.assertFalse(is_job_id('0123456789abcdeg'))
        self.assertFalse(is_job_id('0123456789abcdef0'))
        self.assertEqual(parse_api_key('token  key'), 'key')
        self.assertEqual(parse_api_key('Bearer key'), '')


class BootTest(unittest.TestCase):
    """Decoding of the settings file."""

    def test_a_settings_file_is_decoded(self) -> None:
        """Unknown fields are ignored."""
        listen = ('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3')
        content = write_settings('i', 'z', listen, '127.0.0.1:4')
        extended = content[:-1] + b',"Novel":{"x":1}}'
        boot = decode_boot_settings(extended)
        self.assertEqual(boot.callers_address, '127.0.0.1:1')
        self.assertEqual(boot.internal_ports, (3, 3))
        self.assertEqual(boot.bounds.revocation_ms, 5_000)
        self.assertEqual(boot.bounds.evacuation_ms, 5_000)

    def test_a_truth_value_is_no_port(self) -> None:
        """In Python it is an integer."""
        content = write_settings('i', 'z', ('a:1', 'a:2', 'a:3'), 's:4')
        document = msgspec.json.decode(content)
        document[names.INTERNAL_PORTS] = [True, 7_000]
        boot = decode_boot_settings(msgspec.json.encode(document))
        self.assertEqual(boot.internal_ports, (7_000, 7_000))

    def test_an_address_that_can_not_be_used_is_a_finding(self) -> None:
        """None is used; the settings that were read before stay."""
        content = write_settings('i', 'z', ('a:1', 'a:2', 'a:3'), 's:4')
        document = msgspec.json.decode(content)
        document[names.PLATFORM][names.ADDRESS] = '127.0.0.1:99999'
        document[names.ADVICE] = 'a\x01:80'
        document[names.CLOUD_API] = {ADDRESS: '127.0.0.1:0'}
        with self.assertRaises(InvalidInputError) as caught:
            decode_boot_settings(msgspec.json.encode(document))
        self.assertEqual(len(caught.exception.findings), 3)

    def test_everything_wrong_is_told_at_once(self) -> None:
        """A process does not start with incomplete settings."""
        with self.assertRaises(InvalidInputError) as caught:
            decode_boot_settings(
                b'{"NodeName":7,"Bounds":[],"HeartbeatMs":"x"}'
            )
        self.assertEqual(len(caught.exception.findings), 3)
