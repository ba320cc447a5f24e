"""Settings: classes of declared options, read from flags and the environment.

Each field of a settings class is an option with its parser, default and help. The
findings of all options are reported together.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from result import Err, Ok, Result

from .types import Address, Finding

ENVIRONMENT_PREFIX = "CELERYTRAIL_"
HIDDEN = "(hidden)"

T = TypeVar("T")
Parser = Callable[[str], Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class SigningKey:
    """Holds a secret key and the id that signatures refer to it by."""

    key_id: str
    secret: bytes = field(repr=False)


def parse_text(text: str) -> str:
    """Parse a name of letters, digits, dots, dashes and underscores."""
    if not re.fullmatch(r"[A-Za-z0-9._-]{1,100}", text):
        raise ValueError(
            f"{text!r} should be 1 to 100 letters, digits, dots, dashes or underscores"
        )
    return text


def parse_path(text: str) -> str:
    """Parse the path of a file."""
    if not text:
        raise ValueError("a path is missing")
    return text


def parse_count(text: str) -> int:
    """Parse a whole number of at least 1."""
    if not text.isdigit() or int(text) < 1:
        raise ValueError(f"{text!r} should be a whole number of at least 1")
    return int(text)


def parse_seconds(text: str) -> float:
    """Parse a positive number of seconds."""
    try:
        seconds = float(text)
    except ValueError as exc:
        raise ValueError(f"{text!r} should be a number of seconds") from exc
    if not 0 < seconds < float("inf"):
        raise ValueError(f"{text!r} should be more than 0 seconds")
    return seconds


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse comma-separated addresses; there may be none."""
    return tuple(Address.parse(part.strip()) for part in text.split(",") if part)


def parse_keys(text: str) -> tuple[SigningKey, ...]:
    """Parse comma-separated ``ID:HEX`` keys; the first one signs."""
    keys = []
    for part in text.split(","):
        key_id, _, digits = part.strip().partition(":")
        # The text is a secret, so error messages never contain it.
        if not re.fullmatch(r"[A-Za-z0-9]{1,16}", key_id):
            raise ValueError("each key should be ID:HEX, ID of 1 to 16 letters, digits")
        if not re.fullmatch(r"(?:[0-9a-fA-F]{2}){16,64}", digits):
            raise ValueError(f"key {key_id} should have 32 to 128 hexadecimal digits")
        keys.append(SigningKey(key_id=key_id, secret=bytes.fromhex(digits)))
    if len({key.key_id for key in keys}) < len(keys):
        raise ValueError("two keys have the same id")
    return tuple(keys)


def parse_accounts(text: str) -> str:
    """Check operators' accounts and return the text unchanged.

    The console parses the text again with `accounts.parse_accounts`. That module is
    imported here, not at the top, since a node doesn't need it.
    """
    from .accounts import parse_accounts as parse_hashes

    checked = parse_hashes(text, "accounts")
    if isinstance(checked, Err):
        raise ValueError("; ".join(finding.problem for finding in checked.err_value))
    return text


@dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """Declares an option; its name is that of the field."""

    parse: Parser
    help: str
    default_text: str | None
    is_secret: bool = False


def option(
    parse: Parser, help: str, default: str | None = None, *, secret: bool = False
) -> Any:
    """Declare an option as a data class field; it is required if it has no default."""
    declared = Option(parse=parse, help=help, default_text=default, is_secret=secret)
    return field(metadata={"option": declared})


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Settings of ``celerytrail node``."""

    vm: str = option(parse_text, "Name of the VM this node runs on.")
    failure_domain: str = option(parse_text, "Failure domain of the VM.")
    region: str = option(parse_text, "Region of the VM.", "default")
    caller_listen: Address = option(
        Address.parse, "IP:PORT on which callers are served.", "127.0.0.1:7100"
    )
    peer_listen: Address = option(
        Address.parse,
        "IP:PORT on which nodes, consoles and scrapers are served; the same port "
        "number is used for TCP and UDP.",
        "127.0.0.1:7101",
    )
    platform: tuple[Address, ...] = option(
        parse_addresses, "IP:PORT of the platform; several with commas."
    )
    seeds: tuple[Address, ...] = option(
        parse_addresses, "IP:PORT of other nodes' peer addresses, to join by.", ""
    )
    ticket_keys: tuple[SigningKey, ...] = option(
        parse_keys,
        "ID:HEX keys that sign resume tickets, the same at all nodes; the first "
        "signs, all are accepted.",
        secret=True,
    )
    peer_keys: tuple[SigningKey, ...] = option(
        parse_keys,
        "ID:HEX keys that sign messages between nodes and consoles; the "
        "first signs, all are accepted.",
        secret=True,
    )
    answer_seconds: float = option(
        parse_seconds, "Seconds for which callers may keep an address answer.", "30"
    )
    queue_seconds: float = option(
        parse_seconds, "Seconds a generation may wait for an engine.", "20"
    )
    generation_seconds: float = option(
        parse_seconds, "Seconds a generation may take in all.", "1800"
    )
    call_seconds: float = option(
        parse_seconds, "Seconds a call to a plain service may take.", "30"
    )
    stall_seconds: float = option(
        parse_seconds,
        "Seconds without a token after which an engine's stream is reopened.",
        "5",
    )
    max_connections: int = option(
        parse_count, "Callers' connections served at one time.", "2000"
    )
    log_file: str = option(
        parse_path, "File for the log's lines; - for standard error.", "-"
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class ConsoleSettings:
    """Settings of ``celerytrail console``."""

    vm: str = option(parse_text, "Name of the VM this console runs on.")
    listen: Address = option(
        Address.parse, "IP:PORT on which operators are served.", "127.0.0.1:7200"
    )
    platform: tuple[Address, ...] = option(
        parse_addresses, "IP:PORT of the platform; several with commas."
    )
    nodes: tuple[Address, ...] = option(
        parse_addresses, "IP:PORT of some nodes' peer addresses.", ""
    )
    accounts: str = option(
        parse_accounts,
        "Operators, as NAME:SALT:HASH with commas; `celerytrail account NAME` makes "
        "one.",
        secret=True,
    )
    session_keys: tuple[SigningKey, ...] = option(
        parse_keys, "ID:HEX keys that sign operators' sessions.", secret=True
    )
    peer_keys: tuple[SigningKey, ...] = option(
        parse_keys,
        "ID:HEX keys that sign messages between nodes and consoles.",
        secret=True,
    )
    log_file: str = option(
        parse_path, "File for the log's lines; - for standard error.", "-"
    )


def option_of(item: dataclasses.Field[Any]) -> Option:
    """Return the option that a settings class declares by a field."""
    declared: Option = item.metadata["option"]
    return declared


def flag_name(name: str) -> str:
    """Return the flag of an option, such as ``--peer-listen``."""
    return "--" + name.replace("_", "-")


def variable_name(name: str) -> str:
    """Return the environment variable of an option."""
    return ENVIRONMENT_PREFIX + name.upper()


def read(
    settings_class: type[T],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Result[T, tuple[Finding, ...]]:
    """Read settings; flags override the environment, which overrides defaults.

    Parameters
    ----------
    settings_class : type
        A settings class of this module.
    flags : Mapping
        Field names to the texts of flags; None for a flag that was not given.
    environment : Mapping
        The process's environment variables.

    Returns
    -------
    Result
        The settings, or all findings, each with its flag or variable.
    """
    findings: list[Finding] = []
    values: dict[str, Any] = {}
    for item in dataclasses.fields(settings_class):  # type: ignore[arg-type]
        declared = option_of(item)
        place, text = _find_text(item.name, declared, flags, environment)
        if text is None:
            problem = f"is needed: {declared.help} (or set {variable_name(item.name)})"
            findings.append(Finding(place=place, problem=problem))
            continue
        try:
            values[item.name] = declared.parse(text)
        except ValueError as exc:
            findings.append(Finding(place=place, problem=str(exc)))
    findings += _unknown_variables(environment)
    if findings:
        return Err(tuple(findings))
    return Ok(settings_class(**values))


def describe(settings: object) -> list[tuple[str, str]]:
    """Return each option's name and printable value, with secrets hidden."""
    lines = []
    for item in dataclasses.fields(settings):  # type: ignore[arg-type]
        value = getattr(settings, item.name)
        if option_of(item).is_secret:
            value = HIDDEN
        elif isinstance(value, tuple):
            value = ",".join(str(part) for part in value)
        lines.append((item.name, str(value)))
    return lines


def _find_text(
    name: str,
    declared: Option,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> tuple[str, str | None]:
    flag = flags.get(name)
    if flag is not None:
        return flag_name(name), flag
    variable = variable_name(name)
    if variable in environment:
        return variable, environment[variable]
    return flag_name(name), declared.default_text


def _unknown_variables(environment: Mapping[str, str]) -> list[Finding]:
    """Report variables with the prefix that match no option; most are misspelt."""
    known = {
        variable_name(item.name)
        for settings_class in (NodeSettings, ConsoleSettings)
        for item in dataclasses.fields(settings_class)
    }
    return [
        Finding(place=name, problem="no option has this name")
        for name in sorted(environment)
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known
    ]
