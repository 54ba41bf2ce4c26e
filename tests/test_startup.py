"""Tests of imports and garbage collection during startup."""

import gc
import subprocess
import sys
from pathlib import Path

from redwingspring.startup import pause_gc

from .base import RedwingspringTestCase

ROOT = Path(__file__).parent.parent
# Modules of the other mode, and libraries whose import took 0.3 s of each restart.
UNUSED_MODULES = (
    "cherrypy",
    "pydantic",
    "tenacity",
    "redwingspring.dispatch",
    "typer",
    "prometheus_client",
    "http.server",
)
# Modules that make up most of the start, which open listeners must not wait for.
SLOW_MODULES = ("urllib3", "capnp", "asyncio", "expression", "cheroot", "http.client")


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

    def test_callers_connect_before_the_rest_of_the_process_is_imported(self):
        """Connections to a port without a listener would be reset."""
        code = (
            "import sys, redwingspring.listeners, redwingspring.routedsettings,"
            "redwingspring.routedprocess;"
            f"print([name for name in {SLOW_MODULES} if name in sys.modules])"
        )
        result = subprocess.run(
            [sys.executable, "-S", "-c", code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env={"PYTHONPATH": ":".join(sys.path)},
        )
        self.assertEqual("[]", result.stdout.strip(), result.stderr)

    def test_an_entry_that_follows_a_store_does_not_import_unused_modules(self):
        code = (
            "import sys, redwingspring.routedprocess, redwingspring.routedentry;"
            f"print([name for name in {UNUSED_MODULES} if name in sys.modules])"
        )
        result = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual("[]", result.stdout.strip(), result.stderr)
