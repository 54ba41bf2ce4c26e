"""Names that callers, targets, peers and operators' tools depend on."""

from pathlib import Path

from .base import RedwingspringTestCase
from .outernames import collect_outer_names

LIST = Path(__file__).parent / "outernames.txt"


def read_list():
    """Return the names of the list, by the kind of their reader."""
    names, kind = {}, None
    for line in LIST.read_text().splitlines():
        if line.startswith("["):
            kind = names.setdefault(line.strip("[]"), [])
        elif line and not line.startswith("#"):
            kind.append(line)
    return names


class OuterNamesTest(RedwingspringTestCase):
    def test_no_outer_name_is_gone_altered_or_unlisted(self):
        """A renamed keyword, field or text would silently break its readers."""
        listed, found = read_list(), collect_outer_names()
        self.assertEqual(sorted(listed), sorted(found))
        for kind, names in found.items():
            self.assertEqual(listed[kind], names, kind)
