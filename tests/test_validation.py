import json
import tempfile
from pathlib import Path

from typer.testing import CliRunner

from redwingspring.cmdline import app
from redwingspring.configuration import parse_configuration
from redwingspring.errors import DocumentError
from redwingspring.hostlist import parse_host_list
from redwingspring.settings import parse_settings
from scripts.key_table import PAGE, update_page

from .base import RedwingspringTestCase

EXAMPLES = Path(__file__).parent.parent / "examples"
EXAMPLE_SIZES = {
    "tuhono": ({"fault-desk": 35, "bundle-store": 6}, 15, (3, 250)),
    "malabon": ({"orders": 20, "library": 6}, 13, (6, 200)),
}


class ExamplesTest(RedwingspringTestCase):
    def test_the_example_files_are_valid_and_of_production_size(self):
        for name, (target_counts, host_count, limits) in EXAMPLE_SIZES.items():
            path = EXAMPLES / name
            configuration = parse_configuration(
                (path / "configuration.yaml").read_text()
            )
            hosts = parse_host_list((path / "hosts.yaml").read_text())
            settings = parse_settings((path / "settings.yaml").read_text())
            services = configuration.services
            self.assertEqual(
                target_counts,
                {service: len(services[service].targets) for service in services},
            )
            self.assertEqual(host_count, len(hosts))
            keys = ("target.slots", "target.connections")
            self.assertEqual(limits, tuple(map(configuration.default_value, keys)))
            self.assertTrue(configuration.exceptions)
            listed = {
                (host.name, host.address, host.peer_address, host.data_centre)
                for host in hosts
            }
            own_entry = (settings.name, settings.address, settings.peer_address,
                         settings.data_centre)  # fmt: skip
            self.assertIn(own_entry, listed)
            self.assertTrue(
                set(settings.seeds) <= {host.peer_address for host in hosts}
            )
            data_centres = {
                target.data_centre
                for service in services.values()
                for target in service.targets
            }
            self.assertEqual(data_centres, {host.data_centre for host in hosts})

    def test_the_documented_table_of_keys_is_up_to_date(self):
        text = PAGE.read_text()
        self.assertEqual(update_page(text), text, "run scripts/key_table.py")


class HostListTest(RedwingspringTestCase):
    def test_ambiguous_hosts_and_unknown_states_are_rejected(self):
        line = (
            "- {{name: {}, address: {}, peer_address: {}, data_centre: a, state: {}}}\n"
        )
        text = "hosts:\n" + "".join(
            line.format(*values)
            for values in (
                ("h1", "10.0.0.1:80", "10.0.0.1:81", "live"),
                ("h1", "10.0.0.2:80", "10.0.0.1:80", "gone"),
            )
        )
        error = self.assertRaises(DocumentError, parse_host_list, text, "h")
        self.assertEqual(
            [
                "h:3: hosts[1].name: h1 is also used in line 2",
                "h:3: hosts[1].peer_address: 10.0.0.1:80 is also used in line 2",
                "h:3: hosts[1].state: must be one of: live, leaving",
            ],
            list(error.problems),
        )


class CommandLineTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.example = EXAMPLES / "malabon" / "configuration.yaml"

    def run_command(self, code, *args):
        result = CliRunner().invoke(app, [str(arg) for arg in args])
        self.assertEqual(code, result.exit_code, result.output)
        return result.output

    def write_changed(self, *pairs):
        text = self.example.read_text()
        for old, new in pairs:
            self.assertIn(old, text)
            text = text.replace(old, new, 1)
        directory = tempfile.TemporaryDirectory(prefix="redwingspring-")
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "changed.yaml"
        path.write_text(text)
        return path

    def test_check_reports_invalid_files_by_exit_code_and_json(self):
        self.run_command(0, "check", self.example)
        for kind in ("hosts", "settings"):
            path = EXAMPLES / "tuhono" / f"{kind}.yaml"
            self.run_command(0, "check", "--kind", kind, path)
            self.run_command(2, "check", path)
        path = self.write_changed(("serve: out", "serve: off"), ("20%", "20"))
        output = self.run_command(2, "check", path)
        self.assertEqual(2, len(output.splitlines()), output)
        problems = json.loads(self.run_command(2, "check", "--json", path))["problems"]
        self.assertEqual(
            [(str(path), "exceptions[0].set.retry.share"),
             (str(path), "exceptions[1].set.serve")],
            [(problem["file"], problem["key"]) for problem in problems],
        )  # fmt: skip
        lines = path.read_text().splitlines()
        self.assertIn("retry.share", lines[problems[0]["line"] - 1])

    def test_explain_names_the_exception_in_force_before_overridden_ones(self):
        args = ("explain", self.example, "--service", "orders", "--key", "target.slots")
        output = self.run_command(0, *args, "--target", "10.41.1.13:8080", "--json")
        (found,) = json.loads(output)
        line = self.example.read_text().splitlines()[found["from"]["line"] - 1]
        self.assertEqual("  - service: orders", line)
        self.assertEqual("4", found["value"])
        self.assertIn("BTU-81", found["from"]["reason"])
        self.assertEqual(["6", "3"], [item["value"] for item in found["overridden"]])
        text = self.run_command(0, *args)
        self.assertIn("target.slots: 6\n  from defaults in line 5", text)
        self.assertIn("4 for some targets, from exception in line", text)

    def test_explain_rejects_names_that_do_not_exist(self):
        args = ("explain", self.example, "--service")
        self.assertIn("'orders'?", self.run_command(2, *args, "order"))
        self.run_command(2, *args, "orders", "--target", "10.0.0.1:1")
        self.run_command(2, *args, "orders", "--key", "target.slot", "--json")

    def test_diff_reports_no_change_for_equal_values(self):
        path = self.write_changed(("BTU-77", "BTU-78"), ("10s", "10000ms"))
        self.assertEqual("no change\n", self.run_command(0, "diff", self.example, path))

    def test_diff_lists_the_changes_of_each_service_and_target(self):
        path = self.write_changed(
            ("serve: out", "serve: in"),
            ("request.deadline: 10s", "request.deadline: 5s"),
            ("10.42.2.11:8080", "10.42.2.19:8080"),
            ("10.40.1.11:8080, data_centre: ncr-tinajeros",
             "10.40.1.11:8080, data_centre: ncr-potrero"),
        )  # fmt: skip
        text = self.run_command(1, "diff", self.example, path)
        for part in (
            "defaults: request.deadline changes from 10s to 5s [defaults in line 4]; "
            "changes services library, orders",
            "service library, target 10.42.2.11:8080: removed from ncr-longos",
            "service library, target 10.42.2.19:8080: added in ncr-longos",
            "service orders, target 10.40.1.11:8080: moved from ncr-tinajeros to",
            "service orders, 6 targets (10.42.1.11:8080, ",
            "serve changes from out to in [exception in line ",
        ):
            self.assertIn(part, text)
        self.assertEqual(6, len(text.splitlines()), text)
        changes = json.loads(self.run_command(1, "diff", self.example, path, "--json"))
        targets = [
            change["target"] for change in changes if change.get("key") == "serve"
        ]
        self.assertEqual(7, len(targets), targets)

    def test_diff_shows_the_removal_of_an_exception(self):
        old = self.write_changed(("serve: out", "serve: out\n      cold.slots: 1"))
        text = self.run_command(1, "diff", old, self.example)
        self.assertIn("cold.slots changes from 1 [exception in line 55", text)
        self.assertIn("to 2 [defaults in line 11]", text)

    def test_diff_rejects_an_invalid_file(self):
        path = self.write_changed(("serve: out", "serve: off"))
        self.run_command(2, "diff", self.example, path)
        self.run_command(2, "diff", path, self.example, "--json")
