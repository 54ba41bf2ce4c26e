"""API keys: which requests run under which team, and which are rejected."""

import http.client
import io
import logging
import time

from redwingspring.authentication import Authenticator, ConfirmedTable, Identity
from redwingspring.clock import read_clock
from redwingspring.confirmations import LastConfirmation
from redwingspring.feed import Confirmation
from redwingspring.logs import JsonFormatter, TextFormatter
from redwingspring.metrics import Metrics
from redwingspring.platform import headers
from redwingspring.routedispatch import RoutedCall
from redwingspring.routes import CallerLimits, Route, WeightedService, build_table
from redwingspring.teams import Team, build_team_table

from .base import RedwingspringTestCase
from .standins import (
    HOST,
    POSTS,
    READS,
    HostFixture,
    describe_configuration,
    describe_route,
    wait_until,
)
from .test_routedlogs import DecisionLogCapture

KEY = "yx5x42q492cqf75rjvz4"
OTHER_KEY = "8wuakn2ftimaj3nr26tt"
REMOVED_KEY = "k4removedremoved4444"
UNKNOWN_KEY = "nobodyhasthiskey0000"
KEYS = (KEY, OTHER_KEY, REMOVED_KEY, UNKNOWN_KEY)
PUBLIC = "/public/"
TENANTS = [
    {"name": "kaje80", "api_keys": [KEY, REMOVED_KEY], "priority": 0},
    {"name": "sari12", "api_keys": [OTHER_KEY]},
]


def describe_teams(version=1, keys=(KEY, REMOVED_KEY), **route_changes):
    """Return a configuration with teams, of which the first holds some keys."""
    routes = [
        describe_route("reads", READS, "idempotent", **route_changes),
        describe_route("posts", POSTS, "non_idempotent"),
        describe_route("public", PUBLIC, "idempotent", public=True),
    ]
    tenants = [{**TENANTS[0], "api_keys": list(keys)}, dict(TENANTS[1])]
    return describe_configuration(version, routes, tenants=tenants)


def send_raw(test, host, path, *lines):
    """Send a request with the given header lines; return its status and fields."""
    caller = host.connect()
    test.addCleanup(caller.close)
    head = [f"GET {path} HTTP/1.1", f"Host: {HOST}", "Request-Id: r1"]
    data = "\r\n".join(head).encode() + b"\r\n"
    caller.send(data + b"".join(line + b"\r\n" for line in lines) + b"\r\n")
    response = http.client.HTTPResponse(caller.connection.sock)
    response.begin()
    response.read()
    return response.status, response.headers


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class StoreStateStub:
    table = None


class AuthenticatorTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store_state = StoreStateStub()
        self.last_confirmation = LastConfirmation()
        self.store_state.table = self.build_table([b"one", b"two"])
        self.authenticator = self.build(5.0)
        self.confirm()

    def build(self, strict_revoke_s):
        return Authenticator(
            self.store_state,
            self.last_confirmation,
            strict_revoke_s,
            Metrics(),
            self.clock,
        )

    def build_table(self, keys, name="a"):
        teams = build_team_table([(Team(name, None, 0.0, 0.0), keys)])
        return build_table(1, [], [], CallerLimits(), teams)

    def confirm(self):
        self.last_confirmation.record(Confirmation(confirmed_at=self.clock.now))

    def build_route(self, public=False):
        shares = (WeightedService("desk", 1.0),)
        return Route("r", "/", shares, True, 1, 1.0, 1.0, 3, public=public)

    def authenticate(self, key, **route):
        confirmed = self.authenticator.read_table()
        route = self.build_route(**route)
        return self.authenticator.authenticate(confirmed, route, key)

    def get_status(self, key, **route):
        result = self.authenticate(key, **route)
        return 200 if result.is_ok() else result.error.failure.status

    def test_keys_are_accepted_only_while_their_confirmation_is_recent(self):
        self.clock.now += 4.49
        self.assertEqual(200, self.get_status(b"one"))
        self.clock.now += 0.01
        rejection = self.authenticate(b"one").error
        self.assertEqual(503, rejection.failure.status)
        self.assertTrue(rejection.failure.proves_not_run)
        self.assertTrue(0 < rejection.retry_after_s < 1)
        self.confirm()
        self.assertEqual(200, self.get_status(b"one"))

    def test_an_unconfirmed_host_rejects_no_request_without_a_key_for_its_age(self):
        self.clock.now += 60
        self.assertEqual(200, self.get_status(None, public=True))
        self.assertEqual(401, self.get_status(None))

    def test_a_host_that_was_never_confirmed_accepts_no_key(self):
        self.last_confirmation = LastConfirmation()
        self.authenticator = self.build(5.0)
        self.assertEqual(503, self.get_status(b"one"))

    def test_without_a_strict_limit_known_keys_are_accepted_at_any_age(self):
        self.authenticator = self.build(None)
        self.clock.now += 1e6
        self.assertEqual(200, self.get_status(b"one"))

    def test_an_unknown_key_may_be_new_while_the_configuration_is_unconfirmed(self):
        """A caller takes a 401 as final, though a newer version has its key."""
        for strict_revoke_s, max_age_s in ((None, 3.0), (5.0, 3.0), (2.0, 1.8)):
            self.authenticator = self.build(strict_revoke_s)
            self.confirm()
            for public in (False, True):
                self.assertEqual(401, self.get_status(b"new", public=public))
            self.clock.now += max_age_s - 0.01
            self.assertEqual(401, self.get_status(b"new"))
            self.clock.now += 0.02
            for public in (False, True):
                self.assertEqual(503, self.get_status(b"new", public=public))

    def test_an_old_table_is_never_paired_with_a_newer_confirmation(self):
        """The follower can put a table in force between the two reads."""
        test = self
        old = self.store_state.table

        class RacingState:
            @property
            def table(self):
                test.clock.now += 1
                test.confirm()
                return old

        confirmed_at = self.last_confirmation.confirmed_at
        self.authenticator._store_state = RacingState()
        confirmed = self.authenticator.read_table()
        self.assertEqual(ConfirmedTable(old, confirmed_at), confirmed)

    def check_again_after(self, change):
        identity = self.authenticate(b"two").ok
        change()
        failure = self.authenticator.check_again(identity)
        return None if failure is None else failure.status

    def set_table(self, table):
        self.store_state.table = table

    def test_the_guard_allows_what_has_not_changed(self):
        self.assertIsNone(self.check_again_after(lambda: None))
        newer = self.build_table([b"two"])
        self.assertIsNone(self.check_again_after(lambda: self.set_table(newer)))

    def test_the_guard_forbids_a_key_that_was_removed_while_its_request_waited(self):
        newer = self.build_table([b"one"])
        self.assertEqual(401, self.check_again_after(lambda: self.set_table(newer)))

    def test_the_guard_forbids_a_key_that_another_team_holds_now(self):
        newer = self.build_table([b"two"], name="b")
        self.assertEqual(503, self.check_again_after(lambda: self.set_table(newer)))

    def test_the_guard_forbids_a_send_after_the_process_was_suspended(self):
        def suspend():
            self.clock.now += 30

        self.assertEqual(503, self.check_again_after(suspend))

    def test_the_guard_forbids_headers_of_a_configuration_without_teams(self):
        """The target would get the key, or a Tenant header that the caller chose."""
        with_teams = self.store_state.table
        without = build_table(2, [], [], CallerLimits())
        self.assertEqual(503, self.check_again_after(lambda: self.set_table(without)))
        identity = self.authenticate(b"two").ok
        self.assertEqual(Identity(None, False), identity)
        self.set_table(with_teams)
        self.assertEqual(503, self.authenticator.check_again(identity).status)

    def test_the_priority_of_a_team_comes_before_that_of_the_route(self):
        for priority, expected in ((None, 3), (0, 0), (7, 7)):
            call = RoutedCall(
                *["r", self.build_route(), None, "GET", "/", {}, None, 0.0, 1.0, None],
                team=Team("a", priority, 0.0, 0.0),
            )
            self.assertEqual(expected, call.priority)


class ReadKeyTest(RedwingspringTestCase):
    def read(self, text):
        environ = {"HTTP_AUTHORIZATION": text}
        return headers.parse_request_headers(environ).api_key

    def test_a_key_is_read_as_bytes(self):
        for text in ("Token abc", "token abc", "TOKEN   abc"):
            self.assertEqual(b"abc", self.read(text))
        self.assertEqual(b"\xff\xfe", self.read("Token \xff\xfe"))
        self.assertIsNone(headers.parse_request_headers({}).api_key)

    def test_other_schemes_are_no_key(self):
        for text in ("", "Basic abc", "Tokens abc", "Tokenabc", "Bearer Token abc"):
            self.assertIsNone(self.read(text), text)

    def test_a_key_in_an_unreadable_form_is_one_that_no_team_holds(self):
        for text in ("Token", "Token\tabc", "Basic x, Token abc", "Basic x,token abc"):
            self.assertEqual(b"", self.read(text), text)
        self.assertEqual(b"abc, Token abc", self.read("Token abc, Token abc"))


class HostTest(RedwingspringTestCase):
    def build(self, configuration=None, **settings):
        settings = {"instances": 2, **settings}
        configuration = configuration or describe_teams()
        return HostFixture(self, configuration=configuration, **settings)

    def ask(self, host, key=None, path=READS + "1", **fields):
        if key is not None:
            fields["Authorization"] = f"Token {key}"
        return host.ask("GET", path, **fields)

    def list_fields(self, host, name):
        """Return the values of a field in the requests that targets got."""
        lines = [line for i in host.instances for line in i.field_lines]
        return [
            [value for key, value in fields if key.lower() == name.lower()]
            for fields in lines
        ]

    def assert_no_key_sent(self, host):
        for instance in host.instances:
            for fields in instance.field_lines:
                for key in KEYS:
                    self.assertNotIn(key, repr(fields))


class RequestTest(HostTest):
    def test_a_target_gets_the_team_instead_of_the_key(self):
        host = self.build()
        self.assertEqual(200, self.ask(host, KEY)[0])
        self.assertEqual(200, self.ask(host, OTHER_KEY)[0])
        status = host.ask("POST", POSTS, body=b"x", Authorization=f"Token {KEY}")[0]
        self.assertEqual(200, status)
        found = sorted(self.list_fields(host, "Tenant"))
        self.assertEqual([["kaje80"], ["kaje80"], ["sari12"]], found)
        self.assertEqual([[], [], []], self.list_fields(host, "Authorization"))
        self.assert_no_key_sent(host)

    def test_requests_without_a_valid_key_run_nowhere(self):
        host = self.build()
        for key, path in (
            (None, READS),
            (UNKNOWN_KEY, READS),
            (UNKNOWN_KEY, PUBLIC),
            (UNKNOWN_KEY, "/nowhere/"),
        ):
            status, fields, body = self.ask(host, key, path)
            self.assertEqual(401, status, (key, path))
            self.assertEqual(
                ("not-run", "unauthorized", "Token"),
                (
                    fields["request-run"],
                    fields["failure-reason"],
                    fields["www-authenticate"],
                ),
            )
            self.assertNotIn(UNKNOWN_KEY.encode(), body)
        self.assertEqual(404, self.ask(host, None, "/nowhere/")[0])
        self.assertEqual([], host.runs)
        counts = host.entry.metrics.snapshot()
        self.assertEqual((1, 3), (counts["keys.missing"], counts["keys.unknown"]))

    def test_a_rejected_body_is_not_read(self):
        """A caller without a key could make the host buffer bodies."""
        host = self.build(instances=1)
        caller = host.connect()
        self.addCleanup(caller.close)
        head = f"POST {POSTS} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r\r\n"
        caller.send(f"{head}Content-Length: 100000\r\n\r\n".encode())
        response = http.client.HTTPResponse(caller.connection.sock)
        response.begin()
        self.assertEqual(
            (401, "close"), (response.status, response.headers["connection"])
        )

    def test_a_public_route_needs_no_key_but_tells_the_team_of_a_valid_one(self):
        host = self.build()
        self.assertEqual(200, self.ask(host, None, PUBLIC, Tenant="kaje80")[0])
        self.assertEqual([[]], self.list_fields(host, "Tenant"))
        self.assertEqual(200, self.ask(host, OTHER_KEY, PUBLIC)[0])
        self.assertIn(["sari12"], self.list_fields(host, "Tenant"))

    def test_odd_spellings_find_the_key_or_run_nothing(self):
        host = self.build()
        key = KEY.encode()
        accepted = (
            [b"AUTHORIZATION: token " + key],
            [b"authorization:Token   " + key + b"  "],
        )
        for lines in accepted:
            self.assertEqual(200, send_raw(self, host, READS, *lines)[0], lines)
        ran = len(host.runs)
        other = b"Authorization: Token " + OTHER_KEY.encode()
        own = b"Authorization: Token " + key
        basic = b"Authorization: Basic eDp5"
        rejected = (
            [own, own],
            [own, other],
            [own, basic],
            [basic, own],
            [basic, b"authorization: token " + key],
            [b"Authorization: Token\t" + key],
            [b"Authorization: Token"],
            [b"Authorization: Token " + key.upper()],
            [b"Authorization: Token " + key[:-1]],
            [own + b"\xe9"],
            [b"Authorization: Token \xff\xfe"],
            [b"Authorization: Token \xc3"],
            [own + b",x"],
        )
        for lines in rejected:
            for path in (READS, PUBLIC):
                self.assertEqual(401, send_raw(self, host, path, *lines)[0], lines)
        missing = ([basic], [b"Authorization: Token" + key], [b"Authorization: "],
                   [b"Author_ization: Token " + key], [b"Token: " + key],
                   [b"Cookie: Authorization=Token " + key])  # fmt: skip
        for lines in missing:
            self.assertEqual(401, send_raw(self, host, READS, *lines)[0], lines)
        self.assertEqual(400, send_raw(self, host, READS, b"Authorization : x")[0])
        self.assertEqual(ran, len(host.runs))
        self.assertEqual(200, send_raw(self, host, PUBLIC, basic)[0])
        self.assertEqual([], self.list_fields(host, "Authorization")[-1])

    def test_a_tenant_header_of_the_caller_never_reaches_a_target(self):
        host = self.build(instances=1)
        own = b"Authorization: Token " + KEY.encode()
        spellings = (
            [b"Tenant: boss"],
            [b"tenant: boss"],
            [b"TENANT:boss"],
            [b"Tenant: boss", b"Tenant: boss"],
            [b"Tenant: sari12", b"tenant: \xff\xfe"],
            [b"Tenant:"],
            [b"Ten_ant: boss", b"Tenant: boss"],
            [b"Tenant: boss", b"Connection: tenant, authorization"],
            [b"Connection: Tenant"],
        )
        for lines in spellings:
            self.assertEqual(200, send_raw(self, host, READS, own, *lines)[0], lines)
            self.assertEqual(["kaje80"], self.list_fields(host, "Tenant")[-1], lines)
            self.assertEqual(200, send_raw(self, host, PUBLIC, *lines)[0], lines)
            self.assertEqual([], self.list_fields(host, "Tenant")[-1], lines)
        self.assertNotIn("boss", repr(host.instances[0].field_lines))
        self.assertNotIn("Authorization", repr(host.instances[0].field_lines))

    def test_a_key_beyond_ascii_is_compared_by_its_bytes(self):
        host = self.build(describe_teams(keys=["k\u00e9y"]))
        authorization = b"Authorization: Token "
        status = send_raw(self, host, READS, authorization + b"k\xc3\xa9y")[0]
        self.assertEqual(200, status)
        for key in (b"k\xe9y", b"ke\xcc\x81y"):
            status = send_raw(self, host, READS, authorization + key)[0]
            self.assertEqual(401, status)

    def test_a_configuration_without_tenants_passes_these_headers_on(self):
        route = describe_route("reads", READS, "idempotent", public=True)
        for configuration in (
            describe_configuration(),
            describe_configuration(1, [route], tenants=[]),
        ):
            host = self.build(configuration, revoke=1.0, strict_revoke=True)
            host.entry.authenticator._last_confirmation.confirmed_at = 0.0
            self.assertEqual(200, self.ask(host, UNKNOWN_KEY, Tenant="boss")[0])
            self.assertEqual(200, self.ask(host)[0])
            found = sorted(self.list_fields(host, "Authorization"))
            self.assertEqual([[], [f"Token {UNKNOWN_KEY}"]], found)
            self.assertEqual([[], ["boss"]], sorted(self.list_fields(host, "Tenant")))

    def test_retries_and_hedges_carry_the_same_team(self):
        host = self.build()
        host.instances[0].mode = "shed"
        for _ in range(4):
            self.assertEqual(200, self.ask(host, KEY)[0])
        self.assertTrue(host.instances[0].arrivals)
        host.instances[0].mode = "normal"
        host.instances[0].work_s = 1.5
        hedged = self.build()
        hedged.instances[0].work_s = 1.5
        for _ in range(4):
            self.assertEqual(200, self.ask(hedged, KEY)[0])
        self.assertTrue(hedged.entry.metrics.snapshot()["hedges.sent"])
        for fixture in (host, hedged):
            found = self.list_fields(fixture, "Tenant")
            self.assertTrue(len(found) > 4)
            self.assertEqual([["kaje80"]] * len(found), found)

    def test_a_request_waits_with_the_priority_of_its_team(self):
        host = self.build(instances=1)
        host.instances[0].load = "3,5,3,100"
        queue = host.entry.dispatcher.wait_queues.find("desk")
        enter, priorities = queue.enter, []

        def record(priority, *times):
            priorities.append(priority)
            return enter(priority, *times)

        self.patch(queue, "enter", record)
        for key in (KEY, OTHER_KEY):
            self.assertEqual(503, self.ask(host, key)[0])
        self.assertEqual([0, 1], priorities)

    def test_the_line_of_a_failed_request_has_its_team_and_priority(self):
        logs = DecisionLogCapture(self)
        host = self.build(instances=0)
        for key in (KEY, OTHER_KEY):
            self.assertEqual(503, self.ask(host, key)[0])
        lines = logs.read(message="request failed")
        found = [(line["team"], line["priority"]) for line in lines]
        self.assertEqual([("kaje80", 0), ("sari12", 1)], found)


class RevocationTest(HostTest):
    def test_a_host_that_hears_of_a_removed_key_rejects_it(self):
        host = self.build()
        self.assertEqual(200, self.ask(host, REMOVED_KEY)[0])
        host.store.put("op/config", describe_teams(2, keys=[KEY, UNKNOWN_KEY]))
        wait_until(lambda: host.entry.store_state.version == 2, 2.0)
        self.assertEqual(401, self.ask(host, REMOVED_KEY)[0])
        self.assertEqual(401, self.ask(host, REMOVED_KEY, PUBLIC)[0])
        for key in (KEY, UNKNOWN_KEY, OTHER_KEY):
            self.assertEqual(200, self.ask(host, key)[0])

    def cut_off(self, host):
        """Cut a host off from its store; return when the loss began."""
        started_at = time.monotonic()
        host.store.status = 503
        wait_until(lambda: not host.entry.store_state.is_connected)
        return started_at

    def test_a_host_that_cannot_hear_of_it_stops_to_accept_keys_in_time(self):
        revoke_s = 2.5
        host = self.build(revoke=revoke_s, strict_revoke=True)
        lost_at = self.cut_off(host)
        host.store.put("op/config", describe_teams(2, keys=[KEY]))
        removed_at = time.monotonic()
        last_accepted_at = removed_at
        while (answer := self.ask(host, REMOVED_KEY))[0] == 200:
            last_accepted_at = time.monotonic()
        self.assertTrue(last_accepted_at <= removed_at + revoke_s)
        self.assertTrue(last_accepted_at >= lost_at + 0.3 * revoke_s)
        self.assertEqual(
            (503, "not-run", "unconfirmed"),
            (answer[0], answer[1]["request-run"], answer[1]["failure-reason"]),
        )
        self.assertTrue(0 < float(answer[1]["retry-after"]) < 1)
        ran = len(host.runs)
        for key in (KEY, REMOVED_KEY, UNKNOWN_KEY):
            for path in (READS, PUBLIC):
                self.assertEqual(503, self.ask(host, key, path)[0])
        self.assertEqual(ran, len(host.runs))
        self.assertEqual(200, self.ask(host, None, PUBLIC)[0])
        self.assertEqual(401, self.ask(host)[0])
        host.store.status = 200
        wait_until(lambda: self.ask(host, KEY)[0] == 200)
        self.assertEqual(401, self.ask(host, REMOVED_KEY)[0])

    def test_a_host_resumes_to_accept_keys_although_nothing_changed(self):
        host = self.build(revoke=1.5, strict_revoke=True)
        self.cut_off(host)
        wait_until(lambda: self.ask(host, KEY)[0] == 503)
        host.store.status = 200
        wait_until(lambda: self.ask(host, KEY)[0] == 200)

    def test_a_host_in_contact_with_a_quiet_or_busy_store_accepts_every_key(self):
        """Confirmations that come too seldom would reject valid requests."""
        host = self.build(revoke=2.0, strict_revoke=True)
        end = time.monotonic() + 4.0
        ages = []
        while time.monotonic() < end:
            self.assertEqual(200, self.ask(host, KEY)[0])
            if time.monotonic() > end - 2.0:
                host.store.put("my/leader", {"at": end})
            confirmed_at = host.entry.authenticator.read_table().confirmed_at
            ages.append(read_clock() - confirmed_at)
            time.sleep(0.15)
        self.assertTrue(max(ages) < 1.5, max(ages))

    def test_a_host_that_reads_from_another_one_accepts_keys(self):
        first = self.build(revoke=3.0, strict_revoke=True)
        peer = first.entry.settings.peer_address
        second = self.build(
            instances=0,
            name="edge-akl-a-2",
            store=first.store.address,
            seeds=(peer,),
            peer_address=f"127.0.0.2:{peer.rsplit(':', 1)[1]}",
            address=f"127.0.0.2:{first.entry.settings.address.rsplit(':', 1)[1]}",
            revoke=3.0,
            strict_revoke=True,
        )
        entries = (first.entry, second.entry)
        for entry in entries:
            wait_until(lambda e=entry: len(e.members.list_serving()) == 2)
        wait_until(lambda: any(e.metrics.snapshot().get("feed.calls") for e in entries))
        end = time.monotonic() + 3.0
        while time.monotonic() < end:
            for host in (first, second):
                self.assertEqual(200, self.ask(host, KEY)[0])
            time.sleep(0.1)
        feed_calls = sum(e.metrics.snapshot().get("feed.calls", 0) for e in entries)
        self.assertTrue(feed_calls >= 5, feed_calls)

    def intercept(self, host, change):
        """Make a change after a request was read and before it is sent."""
        send = host.entry.dispatcher.send

        def send_after_change(call):
            change()
            return send(call)

        self.patch(host.entry.dispatcher, "send", send_after_change)

    def test_a_host_suspended_between_read_and_send_sends_nothing(self):
        host = self.build(revoke=5.0, strict_revoke=True)
        authenticator = host.entry.authenticator

        def suspend():
            authenticator._clock = lambda: read_clock() + 30

        self.intercept(host, suspend)
        started_at = time.monotonic()
        status, fields, _ = self.ask(host, KEY)
        self.assertEqual((503, "unconfirmed"), (status, fields["failure-reason"]))
        self.assertEqual("0.300", fields["retry-after"])
        self.assertTrue(time.monotonic() - started_at < 0.5)
        self.assertEqual([], host.runs)
        counts = host.entry.metrics.snapshot()
        self.assertEqual(1, counts["keys.rejected_before_send"])
        self.assertNotIn("attempts.failed.unconfirmed", counts)

    def test_a_key_removed_while_its_request_waits_is_not_used(self):
        host = self.build()

        def remove():
            host.store.put("op/config", describe_teams(2, keys=[KEY]))
            wait_until(lambda: host.entry.store_state.version == 2)

        self.intercept(host, remove)
        self.assertEqual(401, self.ask(host, REMOVED_KEY)[0])
        self.assertEqual([], host.runs)

    def test_a_request_read_before_there_were_teams_does_not_pass_on_its_key(self):
        host = self.build(describe_configuration())

        def add_teams():
            host.store.put("op/config", describe_teams(2))
            wait_until(lambda: host.entry.store_state.version == 2)

        self.intercept(host, add_teams)
        status = self.ask(host, KEY, Tenant="boss")[0]
        self.assertEqual(503, status)
        self.assertEqual([], host.runs)

    def test_an_outdated_host_answers_503_instead_of_401_to_an_unknown_key(self):
        host = self.build()
        authenticator = host.entry.authenticator
        authenticator._clock = lambda: read_clock() + 3.0
        self.assertEqual(503, self.ask(host, UNKNOWN_KEY)[0])
        self.assertEqual(200, self.ask(host, KEY)[0])
        host.entry.store_state.table = None
        for key in (KEY, UNKNOWN_KEY, None):
            status, fields, _ = self.ask(host, key)
            self.assertEqual((503, "not-run"), (status, fields["request-run"]))

    def test_an_invalid_version_leaves_the_keys_in_force(self):
        host = self.build()
        invalid = describe_teams(2, keys=[])
        invalid["tenants"][0]["name"] = "line\nbreak"
        host.store.put("op/config", invalid)
        count = host.entry.metrics.snapshot
        wait_until(lambda: count().get("store.invalid_entries"))
        self.assertEqual(200, self.ask(host, KEY)[0])


class SecrecyTest(HostTest):
    def setUp(self):
        super().setUp()
        root = logging.getLogger()
        self.streams = []
        level = root.level
        for formatter in (JsonFormatter(), TextFormatter()):
            stream = io.StringIO()
            handler = logging.StreamHandler(stream)
            handler.setFormatter(formatter)
            root.addHandler(handler)
            self.addCleanup(root.removeHandler, handler)
            self.streams.append(stream)
        self.addCleanup(root.setLevel, level)
        root.setLevel(logging.DEBUG)

    def assert_no_key(self, text):
        for key in KEYS:
            self.assertNotIn(key, text)

    def test_no_log_line_response_or_metric_contains_a_key(self):
        host = self.build(revoke=5.0, strict_revoke=True)
        calls = []
        send = host.entry.dispatcher.send
        self.patch(
            host.entry.dispatcher, "send", lambda call: calls.append(call) or send(call)
        )
        answers = [
            self.ask(host, key, path) for key in KEYS for path in (READS, PUBLIC)
        ]
        answers += [self.ask(host, f"{KEY}, Token {KEY}"), self.ask(host, KEY, "/no/")]
        host.instances[0].mode = host.instances[1].mode = "reset"
        answers.append(self.ask(host, KEY))
        invalid = describe_teams(2)
        invalid["tenants"][1]["api_keys"] = [KEY, OTHER_KEY]
        host.store.put("op/config", invalid)
        wait_until(lambda: host.entry.metrics.snapshot().get("store.invalid_entries"))
        host.store.put("op/config", describe_teams(3, keys=[KEY]))
        wait_until(lambda: host.entry.store_state.version == 3)
        answers.append(self.ask(host, REMOVED_KEY))
        self.patch(host.entry.dispatcher, "send", lambda call: 1 / 0)
        self.assertRaises(ConnectionError, self.ask, host, KEY)
        self.assert_no_key(repr(answers))
        self.assert_no_key(repr(calls))
        self.assert_no_key(repr(host.entry.store_state.table))
        self.assert_no_key(repr(vars(host.entry)))
        self.assert_no_key(repr(host.entry.metrics.snapshot()))
        page = host.fetch(host.entry.settings.metrics_address, "/metrics")[1]
        self.assert_no_key(page.decode())
        for stream in self.streams:
            self.assertIn("ZeroDivisionError", stream.getvalue())
            self.assertIn("DEBUG", stream.getvalue())
            self.assert_no_key(stream.getvalue())

    def test_the_types_that_hold_a_key_do_not_show_it(self):
        environ = {"HTTP_REQUEST_ID": "r", "HTTP_AUTHORIZATION": f"Token {KEY}"}
        metadata = headers.parse_request_headers(environ)
        self.assertEqual(KEY.encode(), metadata.api_key)
        identity = Identity(Team("a", None, 0.0, 0.0), True, KEY.encode())
        self.assert_no_key(f"{metadata!r} {identity!r} {metadata} {identity}")
