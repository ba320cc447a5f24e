"""Run the command line as ``python -m celerytrail``."""

from __future__ import annotations

import gc
import os
import sys

from .footprint import leave_out_unused
from .platform.nodesettings import SETTINGS_VARIABLE


def main() -> None:
    """Run a node from the platform's settings file, or else the command line.

    A node with a settings file takes no flags. Not importing the library that parses
    flags saves 2 MB and speeds up restarts.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is not None and sys.argv[1:] == ["node"]:
        leave_out_unused()
        # What imports create stays until the end. Collections meanwhile free nothing
        # and take a tenth of the processor time of a start.
        gc.disable()
        from .relay.daemon import run_relay_node

        sys.exit(run_relay_node(path))
    from . import cmdline

    cmdline.main()


if __name__ == "__main__":
    main()
