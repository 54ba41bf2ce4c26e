import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from harness.fleet import allocate_network

from .base import RedwingspringTestCase

ROOT = Path(__file__).parent.parent


class ReadmeTest(RedwingspringTestCase):
    def test_the_commands_of_the_readme_do_what_it_says(self):
        blocks = re.findall(r"```sh\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
        # The graceful stop takes 40 s; here the processes are killed.
        self.assertEqual("kill $(jobs -p)\nwait\n", blocks.pop())
        commands = "".join(blocks).replace(". .venv/bin/activate\n", "")
        directory = Path(tempfile.mkdtemp(prefix="redwingspring-readme-"))
        self.addCleanup(shutil.rmtree, directory)
        shutil.copytree(ROOT / "examples" / "loopback", directory / "examples/loopback")
        # Addresses of its own let several copies of this test run at once.
        network = allocate_network() + "."
        for path in directory.glob("examples/loopback/*.yaml"):
            path.write_text(path.read_text().replace("127.0.0.", network))
        script = f"trap 'kill -9 $(jobs -p)' EXIT\n{commands}"
        result = subprocess.run(
            ["bash", "-c", script.replace("127.0.0.", network)],
            cwd=directory,
            env={
                "PATH": f"{Path(sys.executable).parent}:/usr/bin:/bin",
                "PYTHONPATH": str(ROOT),
            },
            capture_output=True,
            text=True,
            timeout=90,
        )
        for expected in (
            "redwingspring-address 1\n",
            "GET /reports/17 0\n",
            "service fault-desk taken ok\n",
            "request dispatch-1 ran\n",
            "Failure-Reason: duplicate",
            "\nran\n",
            "data-centre ham-b serve out targets 1 out 1\n",
            " configuration-taken revision 2",
        ):
            self.assertIn(expected, result.stdout, result.stderr)


class DesignTest(RedwingspringTestCase):
    def test_the_design_page_lists_every_module(self):
        """Modules that were added later stood in no table."""
        page = (ROOT / "docs" / "design.md").read_text()
        listed = set(re.findall(r"^\| `(\w+)` \|", page, re.M))
        package = ROOT / "redwingspring"
        paths = [*package.glob("*.py"), *package.glob("policy/*.py")]
        modules = {path.stem for path in paths}
        self.assertEqual(set(), modules - listed - {"__init__", "__main__"})
