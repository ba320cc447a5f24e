"""Run the command line as ``python -m celerytrail``."""

from __future__ import annotations

import os
import sys

from .footprint import leave_out_unused
from .platform.nodefile import SETTINGS_VARIABLE


def main() -> None:
    """Run a node by the platform's settings file, or whatever the command line says.

    Such a node takes no flags. Without the library that parses them it is 2 MB smaller
    and sooner there after a restart.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is not None and sys.argv[1:] == ["node"]:
        leave_out_unused()
        from .relay.daemon import run_relay_node

        sys.exit(run_relay_node(path))
    from . import cmdline

    cmdline.main()


if __name__ == "__main__":
    main()
