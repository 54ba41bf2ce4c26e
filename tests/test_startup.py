"""What a process loads, and how, before it serves."""

import gc
import subprocess
import sys
from pathlib import Path

from redwingspring.startup import pause_gc

from .base import RedwingspringTestCase

ROOT = Path(__file__).parent.parent
# Parts of the other mode, and libraries that took 0.3 s of each restart.
UNWANTED = ("cherrypy", "pydantic", "tenacity", "redwingspring.dispatch")


class StartupTest(RedwingspringTestCase):
    def test_collection_goes_on_after_loading_and_after_an_error(self):
        self.addCleanup(gc.unfreeze)
        try:
            with pause_gc():
                self.assertFalse(gc.isenabled())
                raise ImportError
        except ImportError:
            pass
        self.assertTrue(gc.isenabled())
        self.assertTrue(gc.get_freeze_count())

    def test_a_host_that_follows_a_store_does_not_load_what_it_does_not_use(self):
        code = (
            "import sys, redwingspring.cmdline, redwingspring.routedentry;"
            f"print([name for name in {UNWANTED} if name in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual("[]", done.stdout.strip(), done.stderr)
