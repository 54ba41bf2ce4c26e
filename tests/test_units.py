from hypothesis import given, settings
from hypothesis import strategies as st

from redwingspring.defaults import KEYS
from redwingspring.units import (
    check_address,
    format_quantity,
    format_value,
    parse_quantity,
    parse_value,
)

from .base import RedwingspringTestCase


class QuantityTest(RedwingspringTestCase):
    def test_every_unit_is_converted_with_the_right_factor(self):
        for kind, text, value in (
            ("duration", "250ms", 0.25),
            ("duration", "1.5s", 1.5),
            ("duration", "2min", 120.0),
            ("duration", "50us", 0.00005),
            ("size", "64MiB", 64 << 20),
            ("size", "1.5KiB", 1536),
            ("ratio", "10%", 0.1),
            ("rate", "2/s", 2.0),
            ("rate", "30/min", 0.5),
        ):
            self.assertEqual(value, parse_quantity(kind, text), text)

    def test_a_missing_or_unknown_unit_is_not_guessed(self):
        for kind, raw in (
            ("duration", 250),
            ("duration", "250"),
            ("duration", "250 ms"),
            ("duration", "-1s"),
            ("duration", "1m"),
            ("duration", True),
            ("duration", None),
            ("duration", ("1s",)),
            ("size", "64MB"),
            ("size", "0.5B"),
            ("ratio", 0.1),
            ("rate", "2"),
        ):
            self.assertRaises(ValueError, parse_quantity, kind, raw)
        error = self.assertRaises(ValueError, parse_quantity, "size", "64MB")
        self.assertIn("'MB'; use B, KiB, MiB, GiB", str(error))

    @settings(deadline=None)
    @given(st.integers(0, 10**6), st.sampled_from(["us", "ms", "s", "min", "h"]))
    def test_a_formatted_duration_equals_the_one_in_force(self, number, unit):
        value = parse_quantity("duration", f"{number}{unit}")
        shown = parse_quantity("duration", format_quantity("duration", value))
        self.assertTrue(abs(shown - value) <= 1e-8 * max(value, 1e-3), (shown, value))

    def test_every_default_is_a_valid_value_of_its_key(self):
        for key in KEYS.values():
            raw = key.default
            if key.kind not in ("names", "count"):
                raw = format_value(key, key.default)
            self.assertEqual(key.default, parse_value(key, raw), key.name)

    def test_values_out_of_bounds_are_rejected(self):
        for name, raw in (
            ("cold.lease", "3s"),
            ("target.slots", 0),
            ("target.slots", True),
            ("target.slots", 2.5),
            ("retry.share", "101%"),
            ("request.idempotent_methods", ("POST",)),
            ("request.idempotent_methods", "GET"),
            ("balance.policy", "no-such-policy"),
        ):
            self.assertRaises(ValueError, parse_value, KEYS[name], raw)

    def test_an_address_that_no_socket_accepts_is_rejected(self):
        check_address("10.0.0.1:65535")
        for text in ("10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "a:80", "10.0.0.256:1",
                     "10.0.0.1:08", "[::1]:80", ":80", "10.0.0.1:٣"):  # fmt: skip
            self.assertRaises(ValueError, check_address, text)
