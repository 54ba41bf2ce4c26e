from redwingspring.errors import DocumentError
from redwingspring.settings import parse_settings

from .base import RedwingspringTestCase

VALID = """\
name: entry-1
data_centre: akl-a
address: 10.0.0.1:80
peer_address: 10.0.0.1:7001
configuration_service: http://10.0.0.5:8500
peer_key: "0123456789abcdef"
"""


class SettingsTest(RedwingspringTestCase):
    def read_problems(self, text):
        error = self.assertRaises(DocumentError, parse_settings, text, "s.yaml")
        return list(map(str, error.problems))

    def test_plain_numbers_equal_values_with_units(self):
        plain = parse_settings(VALID + "max_body_bytes: 1048576\nkeep_alive: 2\n")
        units = parse_settings(VALID + "max_body_bytes: 1MiB\nkeep_alive: 2s\n")
        self.assertEqual(plain, units)
        self.assertEqual((1 << 20, 2.0), (units.max_body_bytes, units.keep_alive))

    def test_settings_are_immutable(self):
        settings = parse_settings(VALID + "seeds: ['10.0.0.2:7001']")
        self.assertEqual(("10.0.0.2:7001",), settings.seeds)
        self.assertRaises(AttributeError, setattr, settings, "name", "other")

    def test_all_problems_are_reported_together_with_their_lines(self):
        text = VALID.replace("data_centre: akl-a", "data_centre: no")
        text = text.replace("peer_address", "peer_adress")
        text += "seeds: ['10.0.0.2:7001', nowhere]\nmax_connections: '5'\nname: b\n"
        text += "caller_timeout: 0\nlog_style: xml\nkeep_alive: .nan\n"
        found = self.read_problems(text)
        for prefix in (
            "s.yaml:1: peer_address: is missing",
            "s.yaml:2: data_centre: must be text, not false; put it in quotes",
            "s.yaml:4: peer_adress: unknown key; did you mean 'peer_address'?",
            "s.yaml:7: seeds[1]: must be an IPv4 address and a port",
            "s.yaml:8: max_connections: must be a whole number, not '5'",
            "s.yaml:9: name: is given twice; the first one is in line 1",
            "s.yaml:10: caller_timeout: must be greater than 0, not 0",
            "s.yaml:11: log_style: must be 'text' or 'json', not 'xml'",
            "s.yaml:12: keep_alive: must be a duration",
        ):
            self.assertTrue(
                any(problem.startswith(prefix) for problem in found), (prefix, found)
            )
        self.assertEqual(9, len(found), found)

    def test_the_peer_key_does_not_leak_into_messages_or_repr(self):
        for secret in ("tooshort", "123456789012345678"):
            found = self.read_problems(VALID.replace('"0123456789abcdef"', secret))
            self.assertEqual(
                ["s.yaml:6: peer_key: must be text of 16 to 1024 characters"], found
            )
        self.assertNotIn("0123456789abcdef", repr(parse_settings(VALID)))

    def test_a_service_url_without_ip_address_and_port_is_rejected(self):
        for url in ("http://config:80", "10.0.0.5:80", "http://10.0.0.5",
                    "ftp://10.0.0.5:80", "http://10.0.0.5:80/?a", "http://[::1",
                    ):  # fmt: skip
            found = self.read_problems(VALID.replace("http://10.0.0.5:8500", url))
            self.assertIn("s.yaml:5: configuration_service: must be http", found[0])

    def test_callers_and_peers_do_not_share_a_port(self):
        found = self.read_problems(VALID.replace(":7001", ":80"))
        self.assertIn("s.yaml:4: peer_address: must differ", found[0])

    def test_a_document_that_is_no_mapping_reports_no_missing_keys(self):
        self.assertEqual(
            ["s.yaml:1: document: must be a mapping, not a list"],
            self.read_problems("[]"),
        )
