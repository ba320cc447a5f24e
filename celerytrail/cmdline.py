"""The command line: it parses and reports; objects of the library do the work."""

from __future__ import annotations

import typer

from . import __version__

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def _root() -> None:
    """Serve generations of unknown length on crowded engines."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command line."""
    app()
