from redwingspring.routes import (
    CallerLimits,
    Route,
    RoutedService,
    WeightedRoundRobin,
    WeightedService,
    build_table,
)

from .base import RedwingspringTestCase


def build_route(name, prefix, *weighted_services):
    weighted_services = weighted_services or (WeightedService("desk", 1.0),)
    return Route(name, prefix, weighted_services, True, 2, 1.0, 0.3, 1)


class RoutingTableTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        routes = [
            ("a.example", build_route("short", "/x/")),
            ("a.example", build_route("long", "/x/y/")),
            ("b.example", build_route("other", "/x/")),
        ]
        services = [RoutedService("desk", "/health", 10, 3.0, 9.4)]
        self.table = build_table(1, routes, services, CallerLimits())

    def find(self, host, path):
        route = self.table.find_route(host, path)
        return None if route is None else route.name

    def test_the_longest_prefix_wins_whatever_the_order_of_the_routes(self):
        self.assertEqual("long", self.find("a.example", "/x/y/1"))
        self.assertEqual("short", self.find("a.example", "/x/z"))

    def test_routes_of_another_host_do_not_match(self):
        self.assertEqual("other", self.find("b.example", "/x/y/1"))
        self.assertEqual(None, self.find("c.example", "/x/y/1"))

    def test_a_port_in_the_host_and_a_query_are_ignored(self):
        self.assertEqual("short", self.find("a.example:8080", "/x/?to=/x/y/"))

    def test_a_prefix_matches_whole_segments_only(self):
        self.assertEqual(None, self.find("a.example", "/xy/1"))


class WeightedRoundRobinTest(RedwingspringTestCase):
    def test_a_small_number_of_requests_follows_the_weights(self):
        weighted_services = (
            WeightedService("desk", 90.0),
            WeightedService("store", 10.0),
        )
        route = build_route("split", "/x/", *weighted_services)
        round_robin = WeightedRoundRobin()
        chosen = [round_robin.choose(route) for _ in range(20)]
        self.assertEqual(18, chosen.count("desk"))

    def test_changed_services_reset_the_deficits(self):
        round_robin = WeightedRoundRobin()
        before = build_route(
            "s", "/x/", WeightedService("a", 1), WeightedService("b", 1)
        )
        round_robin.choose(before)
        after = build_route(
            "s", "/x/", WeightedService("a", 1), WeightedService("c", 3)
        )
        chosen = [round_robin.choose(after) for _ in range(8)]
        self.assertEqual(6, chosen.count("c"))
