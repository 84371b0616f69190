"""Tests of addresses and ids that calls are made with."""

import unittest

import httpx
from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_platform.addresses import (
    MAX_PORT,
    is_address,
    is_header_id,
)

HOST_CHARACTERS = 'aA0.-_xn:[]%@/ \x01\xe9\u2603\u0663'


class AddressTest(unittest.TestCase):
    """An address is usable, or told apart before a call is made."""

    def test_addresses(self) -> None:
        """Hosts are IP addresses or names; IPv6 addresses are in brackets."""
        for text in (
            '127.0.0.1:1',
            '10.0.0.1:65535',
            '[::1]:80',
            '[fe80::1:2]:80',
            'store:1',
            'runner-1.zone_a.example:8080',
            'example.:80',
            'xn--bcher-kva.example:80',
        ):
            self.assertTrue(is_address(text), text)

    def test_texts_that_are_no_addresses(self) -> None:
        """Most of them raise in a client, some reach another server."""
        for text in (
            '',
            ':',
            '127.0.0.1',
            ':80',
            '127.0.0.1:',
            '127.0.0.1:0',
            '127.0.0.1:65536',
            '127.0.0.1:+1',
            '127.0.0.1: 1',
            '127.0.0.1:1\n',
            '127.0.0.1:\u0663',
            '127.0.0.1:1:2',
            '256.0.0.1:80',
            '127.1:80',
            '::1:80',
            '[::1:80',
            '[::1]80',
            '[::1%lo]:80',
            '[g::1]:80',
            'a..b:80',
            '.:80',
            '-a:80',
            'a-.b:80',
            'a b:80',
            'user@host:80',
            'host/path:80',
            'host?query:80',
            'host#part:80',
            'xn--a:80',
            f'{"a" * 64}:80',
            f'{"a." * 130}a:80',
        ):
            self.assertFalse(is_address(text), text)

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(
        st.text(HOST_CHARACTERS, max_size=12) | st.text(max_size=12),
        st.integers(-1, MAX_PORT + 1).map(str) | st.text(max_size=6),
    )
    def test_a_request_can_be_built_for_each_address(
        self, host: str, port: str
    ) -> None:
        """Whatever is no address is told apart without an exception."""
        address = f'{host}:{port}'
        if is_address(address):
            url = httpx.Request('GET', f'http://{address}/').url
            self.assertEqual(url.port or 80, int(port))
            self.assertEqual(url.path, '/')

    def test_ids(self) -> None:
        """A header carries visible ASCII characters as they are."""
        self.assertTrue(is_header_id('r-0c1f~!'))
        for text in ('', ' ', 'a b', 'a\n', 'a\x00', 'caf\xe9', 'x' * 256):
            self.assertFalse(is_header_id(text), text)
