import re
import subprocess
import sys
from pathlib import Path

from harness.capacitymodel import count_hosts, count_leaf_attempts
from harness.fits import Series, fit_series
from harness.timedentry import PARTS
from scripts.capacity import GROUPS, PROBES

from .base import RedwingspringTestCase

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
TARGET_FIGURES = (
    "12,000 servers",
    "2,300 services",
    "2.1 million calls a second",
    "29 levels deep",
    "0.33 ms added for 99 in 100 calls",
    "4 regions with 9 data centres",
    "43,000 changes a day",
    "in force within 4 s everywhere",
    "2.7% of a core for control",
    "64 MB for control",
    "10 KB a second for control",
    "21 host failures a day",
    "590 restarts a day",
    "a rack or switch lost each week",
    "a data centre lost every other month",
    "the links of a region lost for an hour",
)


def read_rows(text):
    """Return the cells of the rows of all tables by their first cell."""
    rows = {}
    for line in text.splitlines():
        if line.startswith("| "):
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            rows[cells[0]] = cells[1:]
    return rows


# Arguments of each measurement for a small size.
SMALL = {
    "configuration": (20, 5, 2),
    "memory": ("requests", 20),
    "status": (20, 4),
}


class MeasurementTest(RedwingspringTestCase):
    """The tools are run by hand, so a change of the product can break them unseen."""

    def test_every_cost_can_be_measured(self):
        for name, measure in PROBES.items():
            result = measure(*SMALL.get(name, (20,)))
            self.assertTrue(result, name)

    def test_every_timed_part_exists(self):
        for name, (owner, attribute) in PARTS.items():
            self.assertTrue(hasattr(owner, attribute), name)

    def test_every_mutation_replaces_something_that_exists(self):
        code = (
            "from harness.mutant import mutations\n"
            "for name in mutations.list_names():\n"
            "    mutations.find(name)()\n"
        )
        subprocess.run([sys.executable, "-c", code], check=True)


class FitTest(RedwingspringTestCase):
    def test_a_line_is_found_again(self):
        points = {x: (3 * x + 7, 3 * x + 7) for x in (1, 2, 5, 9)}
        fit = fit_series(Series("s", "x", "y", points))
        self.assertAlmostEqual(3, fit.slope)
        self.assertAlmostEqual(7, fit.intercept)
        self.assertAlmostEqual(1, fit.r_squared)
        self.assertAlmostEqual(307, fit.predict(100))

    def test_one_disturbed_round_moves_the_spread_and_not_the_slope(self):
        points = {x: (2 * x, 2 * x, 2 * x + (90 if x == 4 else 0)) for x in range(1, 5)}
        fit = fit_series(Series("s", "x", "y", points))
        self.assertAlmostEqual(2, fit.slope)
        self.assertAlmostEqual(2, fit.slope_low)
        # By hand: 90 at the largest of four sizes adds 90 * 1.5 / 5.
        self.assertAlmostEqual(29, fit.slope_high)

    def test_a_cost_that_is_no_line_shows_in_r_squared(self):
        points = {x: (y,) for x, y in ((1, 0), (2, 5), (3, 5), (4, 0))}
        fit = fit_series(Series("s", "x", "y", points))
        self.assertAlmostEqual(0, fit.slope)
        self.assertAlmostEqual(0, fit.r_squared)


class ModelTest(RedwingspringTestCase):
    def test_marked_retries_add_up_and_unmarked_ones_multiply(self):
        self.assertEqual(59, count_leaf_attempts(29, 3))
        self.assertEqual(3**29, count_leaf_attempts(29, 3, marked=False))

    def test_hosts_grow_with_the_cost_of_a_call(self):
        self.assertAlmostEqual(3500, count_hosts(0.001, utilisation=0.6))


class PageTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.rows = read_rows(PAGE.read_text())

    def test_every_figure_of_the_target_has_a_row(self):
        for figure in TARGET_FIGURES:
            cells = self.rows.get(figure)
            self.assertIsNotNone(cells, f"no row for {figure!r}")
            self.assertTrue(all(cells), f"an empty cell in the row {figure!r}")

    def test_every_measured_group_is_on_the_page(self):
        named = {name.partition(": ")[0] for name in self.rows}
        self.assertEqual(set(), GROUPS.keys() - named)

    def test_the_page_names_no_module_that_does_not_exist(self):
        root = PAGE.parent.parent
        paths = re.findall(
            r"`((?:redwingspring|harness|scripts)/\w+\.py)`", PAGE.read_text()
        )
        self.assertTrue(paths)
        for path in paths:
            self.assertTrue((root / path).exists(), path)
