"""Run the command line with ``python -m redwingspring``."""

from .startup import pause_collection

with pause_collection():
    from .cmdline import app

app(prog_name="redwingspring")
