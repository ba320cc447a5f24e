"""The command line: parses arguments, calls the library and prints the results."""

from __future__ import annotations

import asyncio
import dataclasses
import inspect
import json
import os
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Annotated, Literal, NoReturn, TypeVar

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
claims_app = typer.Typer(
    no_args_is_help=True, help="Settle calls whose outcome is unknown."
)
app.add_typer(claims_app, name="claims")

PlatformFlag = Annotated[
    str,
    typer.Option(envvar="CELERYTRAIL_PLATFORM", help="IP:PORT of the platform."),
]


@app.callback()
def _root() -> None:
    """Serve generations of unknown length on crowded engines."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def _node(cfg: settings.NodeSettings) -> None:
    """Run a node, the daemon of an entry VM.

    If CELERYTRAIL_SETTINGS names a platform's settings file, the node takes its
    settings from that file and accepts no flags.
    """
    from .node import run_node

    run_node(cfg)


def _run_from_file(flags: Mapping[str, str | None]) -> None:
    """Run a node from a platform's settings file if the environment names one."""
    from .platform.nodesettings import SETTINGS_VARIABLE

    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        return
    findings = [
        Finding(
            place=settings.flag_name(name),
            problem="can't be combined with a settings file",
        )
        for name, value in flags.items()
        if value is not None
    ]
    if findings:
        _fail(findings)
    from .relay.daemon import run_relay_node

    raise typer.Exit(run_relay_node(path))


def _console(cfg: settings.ConsoleSettings) -> None:
    """Run the operators' console."""
    from .operators.app import run_console

    run_console(cfg)


def _debug(cfg: settings.NodeSettings) -> None:
    """Print versions and effective settings for a bug report."""
    from .debug import versions

    for name, value in [*versions(), *settings.describe(cfg)]:
        typer.echo(f"{name}: {value}")


@config_app.command("check")
def config_check(
    files: Annotated[list[Path], typer.Argument(help="Documents as JSON files.")],
) -> None:
    """Check documents and print each finding with its place."""
    from .configuration.validation import validate

    findings: list[Finding] = []
    for path in files:
        checked = validate(_read_bytes(path))
        if isinstance(checked, Err):
            findings += [
                Finding(place=f"{path}: {finding.place}", problem=finding.problem)
                for finding in checked.err_value
            ]
        else:
            typer.echo(f"{path}: fine")
    if findings:
        _fail(findings)


@app.command()
def prompts(
    node: Annotated[str, typer.Argument(help="IP:PORT of a node's peer address.")],
    service: Annotated[str, typer.Argument(help="The service.")],
    parts: Annotated[list[str], typer.Argument(help="Ids of prompt parts.")],
    peer_keys: Annotated[
        str, typer.Option(envvar="CELERYTRAIL_PEER_KEYS", help="ID:HEX keys.")
    ],
    allow: Annotated[bool, typer.Option("--allow", help="Allow them again.")] = False,
) -> None:
    """Block prompts that hold all of some parts at all nodes, or allow them again."""
    from .tools import order_prompt_block

    address = _parse("NODE", settings.parse_addresses, node)[0]
    keys = _parse("--peer-keys", settings.parse_keys, peer_keys)
    findings = asyncio.run(
        order_prompt_block(address, keys, service, parts, is_blocked=not allow)
    )
    if findings:
        _fail(findings)


@app.command()
def status(
    nodes: Annotated[list[str], typer.Argument(help="IP:PORT of peer addresses.")],
    peer_keys: Annotated[
        str, typer.Option(envvar="CELERYTRAIL_PEER_KEYS", help="ID:HEX keys.")
    ],
) -> None:
    """Print the state of nodes as JSON: members, version, queues, leaving endpoints."""
    from .tools import fetch_status

    addresses = _parse("NODES", settings.parse_addresses, ",".join(nodes))
    keys = _parse("--peer-keys", settings.parse_keys, peer_keys)
    statuses, findings = asyncio.run(fetch_status(addresses, keys))
    typer.echo(json.dumps(statuses, indent=2))
    if findings:
        _fail(findings)


@claims_app.command("list")
def claims_list(platform: PlatformFlag) -> None:
    """List the open claims, one per line."""
    from .tools import ClaimSettler

    settler = ClaimSettler(
        platform=_parse("--platform", settings.parse_addresses, platform)
    )
    listed = asyncio.run(settler.list_open())
    if isinstance(listed, Err):
        _fail([listed.err_value])
    for open_claim in listed.ok_value:
        claim = open_claim.claim
        typer.echo(
            f"{open_claim.row_key} {claim.state} organisation={claim.organisation} "
            f"service={claim.service} operation={claim.operation} "
            f"attempt={claim.attempt} node={claim.node}"
        )


@claims_app.command("settle")
def claims_settle(
    row: Annotated[
        str, typer.Argument(help="The row key as printed by `claims list`.")
    ],
    verdict: Annotated[str, typer.Option(help="not_run or answered.")],
    by: Annotated[str, typer.Option(help="Who determined the outcome.")],
    platform: PlatformFlag,
) -> None:
    """Record an open claim's outcome, as the endpoint's own records show it."""
    from .tools import ClaimSettler

    if verdict not in ("not_run", "answered"):
        _fail([Finding(place="--verdict", problem="should be not_run or answered")])
    settler = ClaimSettler(
        platform=_parse("--platform", settings.parse_addresses, platform)
    )
    checked: Literal["not_run", "answered"] = (
        "answered" if verdict == "answered" else "not_run"
    )
    settled = asyncio.run(settler.settle(row, checked, by))
    if isinstance(settled, Err):
        _fail([settled.err_value])
    typer.echo(f"{row}: settled as {verdict}")


@app.command()
def account(
    name: Annotated[str, typer.Argument(help="The operator's name.")],
    password: Annotated[
        str, typer.Option(prompt=True, hide_input=True, confirmation_prompt=True)
    ],
) -> None:
    """Print an operator's account in the format of the console's settings."""
    from .accounts import make_account

    typer.echo(make_account(name, password))


@app.command()
def timeline(
    logs: Annotated[list[Path], typer.Argument(help="Log files of any processes.")],
    request: Annotated[
        str | None, typer.Option(help="Show only the events of this request id.")
    ] = None,
    page: Annotated[
        Path | None, typer.Option(help="Write an HTML page instead of text.")
    ] = None,
) -> None:
    """Merge the logs of all processes into one timeline."""
    from . import timeline as timelines
    from .timelinepage import as_page

    _require_files(logs)
    merged = timelines.read_files(logs)
    if request is not None:
        merged = merged.of_request(request)
    if page is not None:
        page.write_text(as_page(merged), encoding="utf-8")
        return
    for line in timelines.as_text(merged):
        typer.echo(line)


@app.command()
def losses(
    logs: Annotated[list[Path], typer.Argument(help="Log files of nodes.")],
    first: Annotated[
        float, typer.Option(help="Longest time to the first event, in seconds.")
    ] = 1.8,
    pause: Annotated[
        float, typer.Option(help="Longest pause between events, in seconds.")
    ] = 0.18,
) -> None:
    """Count how requests ended, by route and cause."""
    from . import losses as request_losses
    from .timeline import read_files

    _require_files(logs)
    limits = request_losses.Limits(first_seconds=first, pause_seconds=pause)
    counted = request_losses.count(read_files(logs).events, limits)
    for line in request_losses.as_text(counted):
        typer.echo(line)


def main() -> None:
    """Run the command line."""
    app()


def _require_files(paths: list[Path]) -> None:
    """Exit with a finding for each path that is no file."""
    missing = [
        Finding(place=str(path), problem="no such file")
        for path in paths
        if not path.is_file()
    ]
    if missing:
        _fail(missing)


def _settings_command(
    name: str,
    settings_class: type[T],
    run: Callable[[T], None],
    before_run: Callable[[Mapping[str, str | None]], None] | None = None,
) -> None:
    """Add a command whose flags are the options of a settings class.

    ``before_run`` is called before the flags are parsed. It may run something else and
    exit.
    """

    def command(**flags: str | None) -> None:
        if before_run is not None:
            before_run(flags)
        match settings.read(settings_class, flags, os.environ):
            case Err(findings):
                _fail(findings)
            case valid:
                run(valid.ok_value)

    parameters = [
        inspect.Parameter(
            field.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=None,
            annotation=_flag_annotation(field),
        )
        for field in dataclasses.fields(settings_class)  # type: ignore[arg-type]
    ]
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {
        parameter.name: parameter.annotation for parameter in parameters
    }
    command.__doc__ = run.__doc__
    app.command(name)(command)


def _flag_annotation(field: dataclasses.Field[object]) -> object:
    option = settings.option_of(field)
    default = option.default_text
    text = f"{option.help} [env: {settings.variable_name(field.name)}]"
    if default is None:
        text += " [needed]"
    elif default:
        text += f" [default: {default}]"
    flag = settings.flag_name(field.name)
    return Annotated[str | None, typer.Option(flag, help=text, show_default=False)]


def _parse(place: str, parse: Callable[[str], T], text: str) -> T:
    try:
        return parse(text)
    except ValueError as exc:
        _fail([Finding(place=place, problem=str(exc))])


def _read_bytes(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        _fail([Finding(place=str(path), problem=exc.strerror or str(exc))])


def _fail(findings: Sequence[Finding]) -> NoReturn:
    """Print all findings and exit with the status for invalid input."""
    for finding in findings:
        typer.echo(f"error: {finding}", err=True)
    raise typer.Exit(EXIT_FINDINGS)


_settings_command("node", settings.NodeSettings, _node, _run_from_file)
_settings_command("console", settings.ConsoleSettings, _console)
_settings_command("debug", settings.NodeSettings, _debug)
