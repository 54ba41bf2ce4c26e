from hypothesis import given, settings
from hypothesis import strategies as st

from redwingspring.errors import DocumentError
from redwingspring.yamlsource import (
    MAX_DOCUMENT_BYTES,
    MAX_PROBLEMS,
    YamlSource,
    read_file,
)

from .base import RedwingspringTestCase


class YamlSourceTest(RedwingspringTestCase):
    def read_problems(self, text):
        return [str(problem) for problem in YamlSource(text, "f.yaml").problems]

    def test_every_key_and_item_has_its_own_line(self):
        source = YamlSource("a:\n  b.c: 1\n\n  d:\n  - x\n  -\n    e: y\n", "f")
        inner = source.root.value["a"].value
        self.assertEqual(("a.b.c", 2), (inner["b.c"].key, inner["b.c"].line))
        item = inner["d"].value[1].value["e"]
        self.assertEqual(("a.d[1].e", 7, "y"), (item.key, item.line, item.value))

    def test_a_duplicate_key_does_not_replace_the_first_value_silently(self):
        self.assertEqual(
            ["f.yaml:3: a.b: is given twice; the first one is in line 2"],
            self.read_problems("a:\n  b: 1\n  b: 2\n"),
        )

    def test_text_that_only_looks_like_a_number_or_time_stays_text(self):
        text = "[1:30, 0x10, 010, 1e3, .inf, 2026-12-04, '5', 1_000]"
        values = YamlSource(text, "f").root.strip_positions()
        self.assertTrue(all(isinstance(value, str) for value in values), values)
        self.assertEqual(
            (5, -2, 1.5, True, False, None),
            YamlSource("[5, -2, 1.5, yes, off, ~]", "f").root.strip_positions(),
        )

    def test_disallowed_and_malformed_yaml_gives_one_problem_with_its_line(self):
        for text, line in (
            ("a: &x [1]\nb: *x", 2),
            ("a: &x [*x]", 1),
            ("a: 1\n---\nb: 2", 2),
            ("[" * 100_000, 1),
            ("[" * 17 + "]" * 17, 1),
            ("? [a]\n: b", 1),
            ("a: !!python/name:os.system x", 1),
            ("a: 1\nb: !!set {c}", 2),
            ("!x [a]", 1),
            ("a: 1\nb: [", 3),
            ("é: 1\nb: \x00", 2),
            ("\ud800", 1),
            ("a: " + "x" * MAX_DOCUMENT_BYTES, 1),
        ):
            found = self.read_problems(text)
            self.assertEqual(1, len(found), text[:40])
            self.assertTrue(found[0].startswith(f"f.yaml:{line}: "), found)

    def test_a_document_of_the_maximum_size_is_accepted(self):
        text = "a: " + "x" * (MAX_DOCUMENT_BYTES - 3)
        self.assertEqual([], self.read_problems(text))

    def test_the_number_of_reported_problems_is_bounded(self):
        text = "a: 1\n" * (MAX_PROBLEMS + 6)
        error = self.assertRaises(DocumentError, YamlSource(text, "f").raise_problems)
        self.assertEqual(MAX_PROBLEMS + 1, len(error.problems))
        self.assertIn("has 5 further problems", error.problems[-1])

    # On a loaded machine an example can exceed the default deadline of Hypothesis.
    @settings(deadline=None)
    @given(st.text(alphabet="ab:-[]{},&*!|>'\"#%\n ?~\t\x85\ud800", max_size=60))
    def test_any_text_gives_a_document_or_problems(self, text):
        source = YamlSource(text, "f")
        self.assertTrue(source.root is not None or source.problems)

    def test_an_unreadable_file_is_a_document_error_with_its_name(self):
        error = self.assertRaises(DocumentError, read_file, "/nonexistent.yaml")
        self.assertIn("/nonexistent.yaml:1: ", error.problems[0])
