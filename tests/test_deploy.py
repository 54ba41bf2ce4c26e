"""What the platform builds and starts: deploy/ and the settings template."""

import re
import tempfile
import tomllib
from importlib.metadata import requires
from pathlib import Path

from redwingspring.errors import DocumentError
from redwingspring.routedsettings import is_routed, parse_routed_settings
from redwingspring.validation import check_file

from .base import RedwingspringTestCase

ROOT = Path(__file__).parent.parent
FIELDS = {
    "node_name": "edge-akl-a-1",
    "zone": "akl-a",
    "ip": "10.1.0.10",
    "listen.front": "10.1.0.10:8161",
    "listen.ready": "10.1.0.10:8167",
    "listen.directory": "10.1.0.10:8164",
    "internal_ports.0": "7720",
    "provider.address": "10.200.1.7:8169",
    "bounds.grace_s": "6",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.retry_budget_slack": "64",
    "bounds.budget_window_s": "10",
    "bounds.probes_per_s": "60",
    "limits.cpu_cores": "3",
    "limits.cpu_share": "0.717",
    "limits.link_mbps": "100.0",
}
# Fields that other deployments do not have.
KEY_FIELDS = {
    "bounds.revoke_s": "5",
    "bounds.strict_revoke": "true",
    "bounds.quota_window_s": "5",
    "bounds.quota_overage": "0.25",
    "bounds.quota_slack": "20",
}
SECTIONS = {
    "zones": [("akl-a", "aotearoa-north"), ("ham-b", "aotearoa-north")],
    "bootstrap": [("", "")],
    "seeds": [("0", "10.1.0.10:8166"), ("1", "10.2.0.40:8166")],
}


def render(template, sections=SECTIONS, fields=FIELDS):
    """Fill in the template as the platform's pages describe it."""

    def fill_section(match):
        if match[1] not in sections:
            return match[2] if match[1] in fields else ""
        entries = sections[match[1]]
        parts = [
            match[2].replace("{{@}}", key).replace("{{.}}", value)
            for key, value in entries
        ]
        commas = [","] * (len(entries) - 1) + [""]
        return "".join(
            part.replace("{{,}}", comma)
            for part, comma in zip(parts, commas, strict=False)
        )

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: fields[match[1]], text)


class TemplateTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.template = (ROOT / "deploy" / "entry.yaml").read_text()

    def test_the_settings_of_a_host_are_valid(self):
        settings = parse_routed_settings(render(self.template))
        self.assertEqual("10.1.0.10:7720", settings.peer_address)
        self.assertEqual(
            ("10.1.0.10:7720", "10.2.0.40:7720"), settings.seed_peer_addresses
        )
        self.assertEqual("aotearoa-north", settings.regions["ham-b"])
        self.assertEqual((6.0, 64.0), (settings.grace, settings.retry_slack))
        self.assertEqual((3, 0.717), (settings.cores, settings.core_share))
        self.assertEqual(100.0, settings.link_mbit)

    def test_the_bounds_on_api_keys_and_rates_are_read(self):
        fields = {**FIELDS, **KEY_FIELDS}
        settings = parse_routed_settings(render(self.template, fields=fields))
        self.assertEqual((5.0, True, 5.0), (settings.revoke, settings.strict_revoke,
                                            settings.strict_revoke_s))  # fmt: skip
        self.assertEqual((5.0, 0.25, 20.0), (settings.quota_window,
                         settings.quota_overage, settings.quota_slack))  # fmt: skip
        fields["bounds.strict_revoke"] = "false"
        settings = parse_routed_settings(render(self.template, fields=fields))
        self.assertEqual((5.0, None), (settings.revoke, settings.strict_revoke_s))

    def test_a_deployment_without_bounds_on_api_keys_starts(self):
        text = render(self.template)
        for name in ("revoke", "quota"):
            self.assertNotIn(name, text)
        settings = parse_routed_settings(text)
        self.assertEqual((None, False, 5.0, 0.0, 0.0), (settings.revoke,
                         settings.strict_revoke, settings.quota_window,
                         settings.quota_overage, settings.quota_slack))  # fmt: skip

    def test_a_deployment_without_seeds_starts(self):
        settings = parse_routed_settings(
            render(self.template, {**SECTIONS, "seeds": []})
        )
        self.assertEqual((), settings.seed_peer_addresses)

    def test_a_missing_or_broken_value_is_named_with_its_line(self):
        text = render(self.template)
        broken = {
            "store: ": "address_of_store: ",
            "grace: 6": "grace: soon",
            'data_centre: "akl-a"': 'data_centre: "nowhere"',
            "10.1.0.10:8161": "10.1.0.10",
        }
        for old, new in broken.items():
            error = self.assertRaises(
                DocumentError, parse_routed_settings, text.replace(old, new), "s.yaml"
            )
            self.assertRegex(str(error), r"s\.yaml:\d+: \w+: ")

    def test_the_check_command_knows_these_settings(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.yaml"
            path.write_text(render(self.template))
            report = check_file(path, "settings")
            self.assertEqual(((), "host edge-akl-a-1 in data centre akl-a"),
                             (report.problems, report.summary))  # fmt: skip
            path.write_text(render(self.template).replace("grace: 6", "grace: soon"))
            self.assertIn("grace", str(check_file(path, "settings").problems[0]))

    def test_the_kind_of_the_settings_is_found(self):
        self.assertTrue(is_routed(self.template))
        for name in ("tuhono", "malabon"):
            example = ROOT / "examples" / name / "settings.yaml"
            self.assertFalse(is_routed(example.read_text()))


class SystemFileTest(RedwingspringTestCase):
    def test_the_role_starts_the_entry_process_with_the_template(self):
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        [role] = system["roles"].values()
        self.assertTrue((ROOT / role["template"]).exists())
        self.assertIn("-m redwingspring.routedprocess ", role["run"])
        self.assertIn("deploy/requirements.txt", system["build"])

    def test_every_dependency_of_the_package_is_pinned_for_the_build(self):
        pinned = (ROOT / "deploy" / "requirements.txt").read_text()
        names = set(re.findall(r"^([a-z0-9-]+)==", pinned, re.M))
        wanted = {
            re.match(r"[A-Za-z0-9-]+", line)[0].lower()
            for line in requires("redwingspring")
            if "extra ==" not in line
        }
        self.assertEqual(set(), wanted - names)
