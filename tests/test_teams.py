"""Teams and their API keys, as a configuration lists them."""

import json

from redwingspring.errors import DocumentError
from redwingspring.platform.documents import _Tenant, decode_change
from redwingspring.storestate import StoreChange
from redwingspring.teams import Team, build_team_table

from .base import RedwingspringTestCase
from .standins import describe_configuration, describe_route

KEY = "yx5x42q492cqf75rjvz4"
OTHER_KEY = "8wuakn2ftimaj3nr26tt"
TENANT = {"name": "kaje80", "api_keys": [KEY, OTHER_KEY]}


def store_change(**changes):
    document = describe_configuration(3, **changes)
    return StoreChange("op/config", json.dumps(document).encode(), 1)


def decode(**changes):
    return decode_change(store_change(**changes)).table


class TeamTableTest(RedwingspringTestCase):
    def test_each_key_finds_its_team_by_its_bytes(self):
        first, second = Team("a", None, 0.0, 0.0), Team("b", 1, 2.0, 3.0)
        table = build_team_table([(first, [b"one", b"two"]), (second, [b"\xc3\xa9"])])
        self.assertEqual((first, second), table.teams)
        found = [table.find(key) for key in (b"one", b"two", "\u00e9".encode())]
        self.assertEqual([first, first, second], found)
        for key in (b"", b"on", b"ONE", b"one ", b"\xff\xfe", b"\xe9"):
            self.assertIsNone(table.find(key), key)

    def test_a_key_given_twice_to_one_team_belongs_to_it(self):
        team = Team("a", None, 0.0, 0.0)
        self.assertIs(team, build_team_table([(team, [b"k", b"k"])]).find(b"k"))


class ConfiguredTeamsTest(RedwingspringTestCase):
    def test_tenants_are_decoded_into_teams(self):
        limited = {"name": "b", "api_keys": [], "priority": 0, "rate_per_s": 36}
        routes = [
            describe_route("p", "/p/", "idempotent", public=True),
            describe_route("r", "/r/", "idempotent"),
        ]
        table = decode(routes=routes, tenants=[TENANT, {**limited, "burst": 1.5}])
        self.assertEqual(
            (Team("kaje80", None, 0.0, 0.0, 3), Team("b", 0, 36.0, 1.5, 3)),
            table.teams.teams,
        )
        self.assertEqual("kaje80", table.teams.find(OTHER_KEY.encode()).name)
        found = [table.find_route("desk.example", path) for path in ("/p/", "/r/")]
        self.assertEqual([True, False], [route.public for route in found])

    def test_a_configuration_without_tenants_has_no_teams(self):
        self.assertIsNone(decode().teams)
        self.assertIsNone(decode(tenants=[]).teams)

    def test_invalid_tenants_are_refused_with_an_error_without_keys(self):
        invalid = {
            "not a list": {"name": "a"},
            "null": None,
            "not an object": ["kaje80"],
            "no name": [{"api_keys": [KEY]}],
            "empty name": [{**TENANT, "name": ""}],
            "number as name": [{**TENANT, "name": 7}],
            "line break in a name": [{**TENANT, "name": "a\r\nTenant: b"}],
            "line break after a name": [{**TENANT, "name": "a\n"}],
            "space before a name": [{**TENANT, "name": " a"}],
            "name beyond ASCII": [{**TENANT, "name": "kaj\u00e9"}],
            "long name": [{**TENANT, "name": "a" * 201}],
            "no keys": [{"name": "a"}],
            "text as keys": [{**TENANT, "api_keys": KEY}],
            "number as key": [{**TENANT, "api_keys": [KEY, 7]}],
            "empty key": [{**TENANT, "api_keys": [KEY, ""]}],
            "space in a key": [{**TENANT, "api_keys": [f"{KEY} x"]}],
            "line break after a key": [{**TENANT, "api_keys": [f"{KEY}\n"]}],
            "long key": [{**TENANT, "api_keys": [KEY * 60]}],
            "text as priority": [{**TENANT, "priority": "high"}],
            "negative rate": [{**TENANT, "rate_per_s": -1}],
            "text as burst": [{**TENANT, "burst": "36"}],
            "name of two teams": [TENANT, {**TENANT, "api_keys": ["x"]}],
            "key of two teams": [TENANT, {"name": "b", "api_keys": ["x", KEY]}],
        }
        for case, tenants in invalid.items():
            error = self.assertRaises(DocumentError, decode, tenants=tenants)
            self.assertRegex(str(error), "^op/config: .*tenants", case)
            self.assertNotIn(KEY, str(error), case)

    def test_a_key_that_is_no_text_is_refused(self):
        change = store_change(tenants=[{"name": "a", "api_keys": ["\ud800"]}])
        self.assertRaises(DocumentError, decode_change, change)

    def test_an_invalid_mark_of_a_public_route_is_refused(self):
        route = describe_route("p", "/p/", "idempotent", public="yes")
        self.assertRaises(DocumentError, decode, routes=[route])

    def test_no_representation_contains_a_key(self):
        """Representations end up in log lines and tracebacks."""
        change = store_change(tenants=[TENANT])
        table = decode(tenants=[TENANT])
        tenant = _Tenant("kaje80", (KEY,))
        for value in (change, table, table.teams, tenant, [tenant]):
            for text in (repr(value), str(value)):
                self.assertNotIn(KEY, text)
