import json
import re
import tempfile
from pathlib import Path

from typer.testing import CliRunner

from redwingspring.cmdline import app
from redwingspring.errors import DocumentError
from redwingspring.platform.configurationcheck import check_configuration
from redwingspring.platform.documents import decode_configuration

from .base import RedwingspringTestCase
from .standins import describe_configuration, describe_route

KEYS = ["yx5x42q492cqf75rjvz4", "8wuakn2ftimaj3nr26tt", "q3hk9d2m5cvb7x1w8z6p"]


def describe_team(name="kaje80", keys=KEYS[:1], **changes):
    return {"name": name, "api_keys": keys, **changes}


def check(document, in_force=None):
    texts = [json.dumps(document, indent=2), "new"]
    if in_force is not None:
        texts += [json.dumps(in_force, indent=2), "old"]
    return check_configuration(*texts)


class ErrorsTest(RedwingspringTestCase):
    def test_a_valid_configuration_has_no_problem(self):
        """Findings on a usual configuration would hide those that matter."""
        report = check(describe_configuration(tenants=[describe_team()]))
        self.assertEqual(((), ()), (report.problems, report.warnings))

    def test_each_fault_is_reported_with_its_key_and_line(self):
        """An operator would correct one fault a time if only the first was shown."""
        routes = [
            describe_route("a", "/a/", "idempotent", timeout_s="2"),
            describe_route("b", "/b/", "idempotent", max_attempts=0),
            describe_route("c", "/c/", "idempotent", service=None),
        ]
        document = describe_configuration("one", routes, limits={"max_body_bytes": -1})
        del document["services"]
        lines = json.dumps(document, indent=2).splitlines()
        problems = {p.key: p for p in check(document).problems}
        self.assertEqual(
            {"config_version", "limits.max_body_bytes", "op/config",
             "virtual_hosts[0].paths[0].timeout_s",
             "virtual_hosts[0].paths[1].max_attempts",
             "virtual_hosts[0].paths[2]"},
            set(problems),
        )  # fmt: skip
        for key in ("timeout_s", "max_attempts", "max_body_bytes"):
            problem = next(p for k, p in problems.items() if k.endswith(key))
            self.assertIn(f'"{key}"', lines[problem.line - 1])
        self.assertIn("`services`", problems["op/config"].message)

    def test_each_unknown_service_is_reported_at_its_route(self):
        """The decoder names only the first route and no place."""
        routes = [
            describe_route(name, f"/{name}/", "upload", service=name) for name in "ab"
        ]
        problems = check(describe_configuration(routes=routes)).problems
        self.assertEqual(
            [("virtual_hosts[0].paths[0]", "route a names ['a']"),
             ("virtual_hosts[0].paths[1]", "route b names ['b']")],
            [(p.key, p.message) for p in problems],
        )  # fmt: skip

    def test_malformed_json_is_reported_with_its_line(self):
        """A document that cannot be parsed must neither pass nor raise."""
        for text, line in (
            ('{\n"config_version": 1,\n]', 3),
            ('{\n"config_version":', 2),
            ("", 1),
            ("[" * 100_000, 1),
        ):
            (problem,) = check_configuration(text, "new").problems
            self.assertEqual((line, "op/config"), (problem.line, problem.key))
        for text in ("[]", "7", "null", "{}", '{"services": {"a": [1, {}]}}'):
            self.assertTrue(check_configuration(text, "new").problems, text)

    def test_a_document_has_problems_exactly_if_a_host_refuses_it(self):
        """A check that is laxer or stricter than the hosts misleads operators."""
        text = json.dumps(describe_configuration(tenants=[describe_team()]))
        values = ["-1", "1.5", "1.0", "1e999", "9" * 30, "null", "true", '""',
                  '"\\ud800"', "[]", "{}", "[7]", '[{"name": 1}]']  # fmt: skip
        spans = [match.span(1) for match in re.finditer(r'": ([^][{},]+)', text)]
        texts = [
            text[:start] + value + text[end:]
            for start, end in spans
            for value in values
        ]
        texts += [
            text.replace(f'"{key}"', '"x"', 1) for key in re.findall(r"\w+", text)
        ]
        texts += [text.replace("{", '{"config_version": "x", ', 1)]
        refusals = 0
        for changed in texts:
            problems = check_configuration(changed, "new").problems
            try:
                decode_configuration(changed.encode())
            except DocumentError:
                refusals += 1
                self.assertTrue(problems, changed)
            else:
                self.assertEqual((), problems, changed)
        self.assertTrue(100 < refusals < len(texts), refusals)

    def test_a_version_that_hosts_ignore_is_an_error(self):
        """Hosts ignore a version that is not higher than theirs."""
        for version, count in ((6, 1), (7, 1), (8, 0)):
            report = check(describe_configuration(version), describe_configuration(7))
            self.assertEqual(count, len(report.problems))
        report = check(describe_configuration(1), {"config_version": 0})
        self.assertEqual({"old"}, {p.file for p in report.problems})


class WarningsTest(RedwingspringTestCase):
    def assert_warned(self, expected, routes=None, **changes):
        """Assert the keys of all warnings about a configuration."""
        report = check(describe_configuration(routes=routes, **changes))
        self.assertEqual((), report.problems)
        self.assertEqual(expected, [warning.key for warning in report.warnings])
        return report.warnings

    def test_entries_that_can_never_match(self):
        """Each of them would silently get no request."""
        path = "virtual_hosts[0].paths[{}].{}"
        reads = describe_route("a", "/a/", "idempotent")
        split = [{"service": reads["service"], "weight": 0}]
        self.assert_warned([path.format(1, "prefix")], [reads, {**reads, "name": "b"}])
        self.assert_warned(
            [path.format(0, "traffic_split")], [{**reads, "traffic_split": split}]
        )
        self.assert_warned([path.format(0, "type")], [{**reads, "type": "idempotnet"}])
        services = describe_configuration()["services"]
        idle = {**services[0], "name": "idle"}
        self.assert_warned(["services[1].name"], services=[*services, idle])
        hosts = describe_configuration()["virtual_hosts"]
        empty = {"host": "empty", "paths": []}
        self.assert_warned(["virtual_hosts[1].paths"], virtual_hosts=[*hosts, empty])
        twice = [{"host": "h", "paths": [reads]}] * 2
        self.assert_warned(["virtual_hosts[1].paths[0].prefix"], virtual_hosts=twice)

    def test_keys_that_no_request_can_use(self):
        """A team without keys is shut out, and public routes need none."""
        teams = [describe_team(keys=[])]
        self.assert_warned(["tenants[0].api_keys"], tenants=teams)
        public = [describe_route("a", "/a/", "idempotent", public=True)]
        self.assert_warned(["tenants"], public, tenants=[describe_team()])

    def test_limits_that_contradict_each_other(self):
        """Each of these pairs makes one of its limits useless."""
        path = "virtual_hosts[0].paths[0]."
        for key, limits in (
            ("target_latency_s", {"target_latency_s": 2.5}),
            ("timeout_s", {"target_latency_s": 0.5, "max_attempts": 5}),
        ):
            routes = [describe_route("a", "/a/", "idempotent", **limits)]
            self.assert_warned([path + key], routes)
        routes = [describe_route("a", "/a/", "idempotent", max_attempts=4)]
        routes[0]["target_latency_s"] = 0.5
        self.assert_warned([], routes)
        limits = {"header_timeout_s": 5, "idle_timeout_s": 4.9}
        self.assert_warned(["limits.idle_timeout_s"], limits=limits)
        self.assert_warned([], limits={**limits, "idle_timeout_s": 5})
        for changes in ({"burst": 0.5, "rate_per_s": 1}, {"burst": 5}):
            teams = [describe_team(**changes)]
            self.assert_warned(["tenants[0].burst"], tenants=teams)
        self.assert_warned([], tenants=[describe_team(burst=1, rate_per_s=1)])
        services = [{**describe_configuration()["services"][0], "warmup_per_s": 0}]
        self.assert_warned(["services[0].warmup_per_s"], services=services)

    def test_a_header_limit_below_a_request_with_a_key(self):
        """No request of such a team would be accepted."""
        routes = [describe_route("a", "/a/", "idempotent")]
        # Requests of public routes need no key.
        public = describe_route("b", "/longer/", "idempotent", public=True)
        hosts = [{"host": "h", "paths": [*routes, public]}]
        head = f"GET /a/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token {KEYS[0]}\r\n\r\n"
        for size, expected in ((0, []), (-1, ["limits.max_header_bytes"])):
            limits = {"max_header_bytes": len(head) + size}
            self.assert_warned(
                expected, limits=limits, virtual_hosts=hosts, tenants=[describe_team()]
            )

    def test_a_warning_names_the_line_of_what_should_contain_a_missing_key(self):
        """A default in contradiction to a given value has no line of its own."""
        limits = {"header_timeout_s": 60}
        (warning,) = self.assert_warned(["limits.idle_timeout_s"], limits=limits)
        lines = json.dumps(describe_configuration(limits=limits), indent=2).splitlines()
        self.assertIn('"limits"', lines[warning.line - 1])


class ChangesTest(RedwingspringTestCase):
    def test_changes_are_listed_for_a_reader(self):
        """An operator approves what the list shows; it must be complete."""
        first, second = describe_configuration()["services"][0], {"name": "library"}
        kept, gone, added = (describe_route(n, f"/{n}/", "upload") for n in "abc")
        keys, keys_after = KEYS[:2], KEYS[1:]
        moved = {"service": "library", "target_latency_s": 0.2}
        before = describe_configuration(
            1,
            [kept, gone],
            services=[first, second],
            tenants=[describe_team("one", keys, rate_per_s=5)],
        )
        after = describe_configuration(
            2,
            [{**kept, **moved}, added],
            services=[first, second],
            tenants=[describe_team("one", keys_after, rate_per_s=2)],
            limits={**before["limits"], "max_body_bytes": 5},
        )
        before["tenants"].append(describe_team("two", []))
        after["tenants"].append(describe_team("six", []))
        report = check(after, before)
        host = before["virtual_hosts"][0]["host"]
        self.assertEqual(
            [
                "configuration: config_version changes from 1 to 2",
                "limits: max_body_bytes changes from 1048576 to 5",
                f"route {host} a: target_latency_s changes from 0.3 to 0.2",
                f"route {host} a: services changes from "
                f'{{"{first["name"]}": 1.0}} to {{"library": 1.0}}',
                f"route {host} b is removed",
                "team one: rate_per_s changes from 5.0 to 2.0",
                "team one: API keys added: 1",
                "team one: API keys removed: 1",
                "team two is removed",
                f"route {host} c is added",
                "team six is added",
            ],
            [change.to_text() for change in report.changes],
        )
        fields = report.to_json()["changes"]
        self.assertEqual(11, len(fields))
        self.assertEqual(
            {"subject": "team", "name": "six", "action": "added"}, fields[-1]
        )

    def test_an_equal_configuration_changes_only_its_version(self):
        """Order and spelling of numbers must not look like changes."""
        before, after = describe_configuration(1), describe_configuration(2)
        after["virtual_hosts"][0]["paths"].reverse()
        after["limits"]["header_timeout_s"] = 3.0
        self.assertEqual(
            ["config_version"], [c.key for c in check(after, before).changes]
        )


class CommandTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory(prefix="redwingspring-")
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def write(self, name, document):
        path = self.directory / name
        is_text = isinstance(document, str)
        path.write_text(document if is_text else json.dumps(document))
        return path

    def run_command(self, code, *args):
        result = CliRunner().invoke(app, ["check", *map(str, args)])
        self.assertEqual(code, result.exit_code, result.output)
        for key in KEYS:
            self.assertNotIn(key, result.output)
        return result.output

    def test_the_exit_code_is_the_result(self):
        """Scripts publish or stop by it."""
        good = self.write("good", describe_configuration(2, tenants=[describe_team()]))
        old = self.write("old", describe_configuration(1))
        teams = [describe_team(burst=3)]
        warned = self.write("warned", describe_configuration(2, tenants=teams))
        self.assertIn("valid platform", self.run_command(0, good))
        self.assertIn(
            "team kaje80 is added", self.run_command(0, good, "--against", old)
        )
        self.assertIn(": warning: ", self.run_command(1, warned))
        self.assertIn("not higher", self.run_command(2, old, "--against", good))
        self.run_command(2, self.directory / "missing", "--kind", "platform")
        self.run_command(2, good, "--against", self.directory / "missing")
        self.run_command(2, good, "--against", old, "--kind", "hosts")
        self.run_command(2, self.write("broken", '{"config_version": 1,'))

    def test_json_has_problems_warnings_and_changes(self):
        """Scripts read the fields by name."""
        old = self.write("old", describe_configuration(1))
        teams = [describe_team(burst=3)]
        new = self.write("new", describe_configuration(2, tenants=teams))
        output = json.loads(self.run_command(1, new, "--against", old, "--json"))
        self.assertEqual(
            {"file", "kind", "valid", "summary", "problems", "warnings", "changes"},
            set(output),
        )
        self.assertEqual("tenants[0].burst", output["warnings"][0]["key"])
        output = json.loads(self.run_command(2, old, "--against", new, "--json"))
        self.assertEqual("config_version", output["problems"][0]["key"])

    def test_no_output_contains_an_api_key(self):
        """Output ends up in logs of build systems."""
        key, other, third = KEYS
        broken_teams = [
            [describe_team(keys=key)],
            [describe_team(keys=[[key]])],
            [describe_team(keys={key: other})],
            [describe_team(keys=[key + " ", key + "\n", other])],
            [describe_team("a", [key]), describe_team("b", [key])],
            [describe_team("a", [key]), describe_team("a", [other])],
            {key: other},
            [key],
            key,
        ]
        good = describe_configuration(3, tenants=[describe_team(keys=[key, third])])
        old = self.write("old", good)
        for teams in broken_teams:
            path = self.write("new", describe_configuration(4, tenants=teams))
            for options in ((), ("--json",), ("--against", old)):
                self.run_command(2, path, *options)
            for kind in ("configuration", "settings", "hosts"):
                self.run_command(2, path, "--kind", kind)
        text = json.dumps(good)
        for position in range(text.index(key) - 12, text.index(third) + 24):
            start, rest = text[:position], text[position:]
            self.run_command(2, self.write("new", start))
            self.run_command(2, self.write("new", f"{start}\x01{rest}"))
