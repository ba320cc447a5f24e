"""The command line: it parses and reports; objects of the library do the work."""

from __future__ import annotations

import dataclasses
import inspect
import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

import typer
from result import Err

from . import __version__, settings
from .types import Finding

T = TypeVar("T")

EXIT_FINDINGS = 2

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
config_app = typer.Typer(no_args_is_help=True, help="Work with documents.")
app.add_typer(config_app, name="config")


@app.callback()
def _root() -> None:
    """Serve generations of unknown length on crowded engines."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def _node(cfg: settings.NodeSettings) -> None:
    """Run a node: the one daemon of an entry VM."""
    from .node import run_node

    run_node(cfg)


def _console(cfg: settings.ConsoleSettings) -> None:
    """Run the operators' console of forms."""
    from .operators.app import run_console

    run_console(cfg)


def _debug(cfg: settings.NodeSettings) -> None:
    """Print what a bug report needs: versions and effective settings."""
    from .debug import versions

    for name, value in [*versions(), *settings.describe(cfg)]:
        typer.echo(f"{name}: {value}")


@config_app.command("check")
def config_check(
    files: Annotated[list[Path], typer.Argument(help="Documents as JSON files.")],
) -> None:
    """Check documents; every finding is printed with its place."""
    from .operators.validation import validate

    findings: list[Finding] = []
    for path in files:
        checked = validate(_read_bytes(path))
        if isinstance(checked, Err):
            findings += [
                Finding(place=f"{path}: {found.place}", problem=found.problem)
                for found in checked.err_value
            ]
        else:
            typer.echo(f"{path}: fine")
    if findings:
        _fail(findings)


@app.command()
def account(
    name: Annotated[str, typer.Argument(help="The operator's name.")],
    password: Annotated[
        str, typer.Option(prompt=True, hide_input=True, confirmation_prompt=True)
    ],
) -> None:
    """Print an operator's account for the console's settings."""
    from .operators.sessions import make_account

    typer.echo(make_account(name, password))


@app.command()
def timeline(
    logs: Annotated[list[Path], typer.Argument(help="Log files of any processes.")],
    request: Annotated[
        str | None, typer.Option(help="Show only what belongs to this request id.")
    ] = None,
    page: Annotated[
        Path | None, typer.Option(help="Write an HTML page instead of text.")
    ] = None,
) -> None:
    """Merge the logs of all processes into one time line."""
    from . import timeline as lines
    from .timelinepage import as_page

    missing = [
        Finding(place=str(path), problem="no such file")
        for path in logs
        if not path.is_file()
    ]
    if missing:
        _fail(missing)
    whole = lines.read_files(logs)
    if request is not None:
        whole = whole.of_request(request)
    if page is not None:
        page.write_text(as_page(whole), encoding="utf-8")
        return
    for line in lines.as_text(whole):
        typer.echo(line)


def main() -> None:
    """Run the command line."""
    app()


def _settings_command(name: str, table: type[T], run: Callable[[T], None]) -> None:
    """Add a command whose flags are the options of a settings class."""

    def command(**flags: str | None) -> None:
        match settings.read(table, flags, os.environ):
            case Err(findings):
                _fail(findings)
            case good:
                run(good.ok_value)

    parameters = [
        inspect.Parameter(
            item.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=None,
            annotation=_flag(item),
        )
        for item in dataclasses.fields(table)  # type: ignore[arg-type]
    ]
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {item.name: item.annotation for item in parameters}
    command.__doc__ = run.__doc__
    app.command(name)(command)


def _flag(item: dataclasses.Field[object]) -> object:
    known = settings.option_of(item)
    default = known.default_text
    text = f"{known.help} [env: {settings.variable_name(item.name)}]"
    if default is None:
        text += " [needed]"
    elif default:
        text += f" [default: {default}]"
    flag = settings.flag_name(item.name)
    return Annotated[str | None, typer.Option(flag, help=text, show_default=False)]


def _read_bytes(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        _fail([Finding(place=str(path), problem=exc.strerror or str(exc))])


def _fail(findings: Sequence[Finding]) -> NoReturn:
    """Print all findings and leave with the code for wrong input."""
    for finding in findings:
        typer.echo(f"error: {finding}", err=True)
    raise typer.Exit(EXIT_FINDINGS)


_settings_command("node", settings.NodeSettings, _node)
_settings_command("console", settings.ConsoleSettings, _console)
_settings_command("debug", settings.NodeSettings, _debug)
