import textwrap

from hypothesis import given, settings
from hypothesis import strategies as st

from redwingspring.configuration import Configuration, Target, parse_configuration
from redwingspring.defaults import KEYS
from redwingspring.errors import DocumentError

from .base import RedwingspringTestCase

SERVICES = """\
services:
  orders:
    targets:
      - {address: 10.0.0.1:80, data_centre: a}
      - {address: 10.0.0.2:80, data_centre: b}
  library:
    targets:
      - {address: 10.0.0.1:80, data_centre: a}
      - {address: 10.0.0.3:80, data_centre: c}
"""


def add_exceptions(*items):
    """Return a document with exceptions given as flow mappings."""
    lines = "".join(f"  - {{{item}}}\n" for item in items)
    return f"{SERVICES}exceptions:\n{lines}"


class ValuesTest(RedwingspringTestCase):
    def test_values_of_the_document_are_in_base_units(self):
        configuration = parse_configuration(
            "defaults: {request.deadline: 250ms, retry.share: 20%}\n" + SERVICES
        )
        self.assertEqual(0.25, configuration.default_value("request.deadline"))
        self.assertEqual(0.2, configuration.service_value("retry.share", "orders"))
        self.assertEqual(3, configuration.default_value("target.slots"))

    def test_the_more_specific_selector_takes_precedence_in_any_order(self):
        exception_specs = [
            "data_centre: a, set: {target.slots: 10}, reason: r",
            "service: orders, set: {target.slots: 20}, reason: r",
            "service: orders, data_centre: a, set: {target.slots: 30}, reason: r",
            "target: '10.0.0.1:80', set: {target.slots: 40}, reason: r",
            "target: '10.0.0.1:80', service: orders, "
            "set: {target.slots: 50}, reason: r",
        ]
        for count in range(len(exception_specs) + 1):
            for chosen in (exception_specs[:count], exception_specs[:count][::-1]):
                configuration = parse_configuration(add_exceptions(*chosen))
                target = configuration.services["orders"].targets[0]
                value = configuration.target_value("target.slots", target)
                self.assertEqual(10 * count or 3, value, chosen)

    def test_a_data_centre_exception_does_not_leak_to_the_whole_service(self):
        configuration = parse_configuration(
            add_exceptions(
                "service: orders, data_centre: a, set: {target.slots: 9}, reason: r"
            )
        )
        first, second = configuration.services["orders"].targets
        other = configuration.services["library"].targets[0]
        self.assertEqual(3, configuration.service_value("target.slots", "orders"))
        self.assertEqual(9, configuration.target_value("target.slots", first))
        self.assertEqual(3, configuration.target_value("target.slots", second))
        self.assertEqual(3, configuration.target_value("target.slots", other))

    @settings(deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([None, "orders", "library"]),
                st.sampled_from([None, "10.0.0.1:80", "10.0.0.3:80"]),
                st.sampled_from([None, "a", "c"]),
                st.integers(1, 3),
            ),
            max_size=6,
        )
    )
    def test_precomputed_values_equal_a_search_of_all_exceptions(self, exception_specs):
        items = []
        for service, target, centre, slots in exception_specs:
            parts = [("service", service), ("target", target), ("data_centre", centre)]
            given = [f"{name}: '{value}'" for name, value in parts if value]
            given += [f"set: {{target.slots: {slots}}}", "reason: r"]
            items.append(", ".join(given))
        try:
            configuration = parse_configuration(add_exceptions(*items))
        except DocumentError:
            return
        for service in configuration.services.values():
            for target in service.targets:
                found = [
                    exception
                    for exception in configuration.exceptions
                    if exception.matches(target)
                ]
                most_specific = max(
                    found, key=lambda exception: exception.specificity, default=None
                )
                expected = most_specific.values["target.slots"] if most_specific else 3
                value = configuration.target_value("target.slots", target)
                self.assertEqual(expected, value)

    def test_defaults_apply_without_a_configuration_and_to_unknown_targets(self):
        target = Target("none", "10.9.9.9:80", "z")
        for key, entry in KEYS.items():
            self.assertEqual(entry.default, Configuration().service_value(key, "none"))
            self.assertEqual(entry.default, Configuration().target_value(key, target))


class RejectionTest(RedwingspringTestCase):
    def assert_problems(self, text, *expected):
        error = self.assertRaises(
            DocumentError, parse_configuration, textwrap.dedent(text), "c.yaml"
        )
        found = list(map(str, error.problems))
        self.assertEqual(len(expected), len(found), found)
        for prefix, problem in zip(expected, found, strict=True):
            self.assertTrue(problem.startswith(f"c.yaml:{prefix}"), (prefix, problem))

    def test_an_exception_without_a_reason_is_rejected(self):
        exception_text = "service: orders, set: {target.slots: 2}"
        for reason, message in (
            ("", "11: exceptions[0].reason: is missing"),
            (", reason: ''", "11: exceptions[0].reason: must not be empty"),
            (", reason: ' '", "11: exceptions[0].reason: must not be empty"),
            (", reason: ", "11: exceptions[0].reason: must be text, not nothing"),
            (", reason: 5", "11: exceptions[0].reason: must be text, not 5"),
        ):
            self.assert_problems(add_exceptions(exception_text + reason), message)

    def test_exceptions_that_contradict_each_other_are_rejected(self):
        for selector in ("service: orders", "data_centre: a", "target: '10.0.0.2:80'",
                         "service: orders, data_centre: b"):  # fmt: skip
            exception_specs = [
                f"{selector}, set: {{target.slots: {slots}}}, reason: r"
                for slots in (2, 4)
            ]
            self.assert_problems(
                add_exceptions(*exception_specs),
                "12: exceptions[1].set.target.slots: contradicts the exception in "
                "line 11",
            )
            parse_configuration(add_exceptions(exception_specs[0], exception_specs[0]))

    def test_an_exception_that_matches_nothing_is_rejected(self):
        for selector, message in (
            ("service: order", "service: matches nothing: there is no service 'order'; "
             "did you mean 'orders'?"),
            ("data_centre: z", "data_centre: matches nothing"),
            ("target: '10.0.0.9:80'", "target: matches nothing"),
            ("service: orders, data_centre: c", "data_centre: matches nothing"),
            ("service: orders, target: '10.0.0.3:80'", "target: matches nothing"),
            ("target: '10.0.0.3:80', data_centre: a", "data_centre: matches nothing"),
        ):  # fmt: skip
            exception_text = f"{selector}, set: {{serve: out}}, reason: r"
            self.assert_problems(
                add_exceptions(exception_text), f"11: exceptions[0].{message}"
            )

    def test_unknown_keys_and_wrong_units_are_reported_together(self):
        text = (
            "defaults:\n  target.slot: 3\n  queue.wait: 5\n  serve: out\n" + SERVICES
        ).replace("address: 10.0.0.2:80, data_centre: b", "address: 10.0.0.1:80, dc: b")
        self.assert_problems(
            text + "exception: []\n",
            "2: defaults.target.slot: unknown key; did you mean 'target.slots'?",
            "3: defaults.queue.wait: 5 has no unit; use us, ms, s, min, h",
            "4: defaults.serve: can be set only by an exception",
            "9: services.orders.targets[1].dc: unknown key; known are: address,",
            "9: services.orders.targets[1].data_centre: is missing",
            "9: services.orders.targets[1].address: 10.0.0.1:80 is also the target in",
            "14: exception: unknown key; did you mean 'exceptions'?",
        )

    def test_an_empty_file_does_not_remove_all_services(self):
        self.assert_problems("", "1: document: must be a mapping, not nothing")
        self.assert_problems("defaults: {}", "1: services: is missing")
        self.assert_problems("services:\n", "1: services: must be a mapping")
        self.assertEqual({}, dict(parse_configuration("services: {}").services))

    def test_an_exception_that_can_have_no_effect_is_rejected(self):
        for exception_text, message in (
            ("data_centre: a, set: {retry.attempts: 1}, reason: r",
             "set.retry.attempts: applies to a whole service"),
            ("service: orders, set: {}, reason: r", "set: must set at least one key"),
        ):  # fmt: skip
            self.assert_problems(
                add_exceptions(exception_text), f"11: exceptions[0].{message}"
            )
        self.assert_problems(
            add_exceptions("set: {serve: out}, reason: r"),
            "11: exceptions[0]: needs a selector",
        )

    def test_documents_of_wrong_structure_raise_only_document_errors(self):
        for text in ("5", "[]", "services: 5", "services: {a: 5}", "services: {a: }",
                     "services: {a: {targets: {}}}", "services: {a: {targets: [5]}}",
                     "services: {a: {targets: [{address: [], data_centre: {}}]}}",
                     "services: {'': {targets: []}}", "services: {-: {targets: []}}",
                     "services: {}\nexceptions: 5", "services: {}\nexceptions: [5]",
                     "services: {}\nexceptions: [{set: 5, reason: {}, target: []}]",
                     "services: {}\ndefaults: [5]",
                     "services: {}\ndefaults: {serve: [in]}",
                     "services: {}\ndefaults: {request.idempotent_methods: [{}]}",
                     ):  # fmt: skip
            self.assertRaises(DocumentError, parse_configuration, text)
