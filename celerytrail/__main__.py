"""Run the command line as ``python -m celerytrail``."""

from .cmdline import main

if __name__ == "__main__":
    main()
