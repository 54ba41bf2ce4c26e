"""Tests of imports and garbage collection during startup."""

import gc
import subprocess
import sys
from pathlib import Path

from redwingspring.startup import pause_gc

from .base import RedwingspringTestCase

ROOT = Path(__file__).parent.parent
# Modules of the other mode, and libraries whose import took 0.3 s of each restart.
UNUSED_MODULES = ("cherrypy", "pydantic", "tenacity", "redwingspring.dispatch")


class StartupTest(RedwingspringTestCase):
    def test_garbage_collection_is_enabled_again_after_a_failed_import(self):
        self.addCleanup(gc.unfreeze)
        try:
            with pause_gc():
                self.assertFalse(gc.isenabled())
                raise ImportError
        except ImportError:
            pass
        self.assertTrue(gc.isenabled())
        self.assertTrue(gc.get_freeze_count())

    def test_an_entry_that_follows_a_store_does_not_import_unused_modules(self):
        code = (
            "import sys, redwingspring.cmdline, redwingspring.routedentry;"
            f"print([name for name in {UNUSED_MODULES} if name in sys.modules])"
        )
        result = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual("[]", result.stdout.strip(), result.stderr)
