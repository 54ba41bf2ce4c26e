"""Run the command line with ``python -m redwingspring``."""

from .startup import pause_gc

with pause_gc():
    from .cmdline import app

app(prog_name="redwingspring")
