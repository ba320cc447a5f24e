"""Reads the bodies of generation requests; every finding with its place."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from ..types import Finding

MAX_PROMPT_CHARACTERS = 512 * 1024
MAX_MESSAGES = 1_024
MAX_OUTPUT_TOKENS = 100_000
MAX_TIMEOUT_SECONDS = 24 * 3600.0
MAX_STOPS = 4

Check = Callable[[object], str | None]


@dataclass(frozen=True, kw_only=True, slots=True)
class GenerationBody:
    """A checked request for a generation.

    Parameters
    ----------
    shape : str
        ``completion`` or ``chat``.
    model : str
        As the caller wrote it: ``MODEL`` or ``MODEL:ADAPTER``.
    prompt : str
        What the engine gets; chat messages are joined into one.
    n_max_tokens : int or None
        The most tokens wanted; None for as many as there is room for.
    is_streamed, does_include_usage : bool
        How to answer.
    timeout : float or None
        Seconds after which the caller gives up.
    sampling : dict
        Options handed on to the engine as they are.
    """

    shape: str
    model: str
    prompt: str
    n_max_tokens: int | None = None
    is_streamed: bool = False
    does_include_usage: bool = False
    timeout: float | None = None
    sampling: dict[str, object] = field(default_factory=dict)


def read_body(shape: str, data: bytes) -> Result[GenerationBody, list[Finding]]:
    """Read the body of a completion (``completion``) or chat (``chat``) request."""
    try:
        raw = msgspec.json.decode(data, type=dict[str, object])
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        return Err([Finding(place="body", problem=f"is no JSON object: {exc}")])
    checks = {**_COMMON, **(_CHAT if shape == "chat" else _COMPLETION)}
    findings = []
    for name, value in raw.items():
        check = checks.get(name)
        if check is None:
            findings.append(Finding(place=name[:100], problem="is no field of this"))
            continue
        problem = None if value is None else check(value)
        if problem is not None:
            findings.append(Finding(place=name, problem=problem))
    for name in ("model", "messages" if shape == "chat" else "prompt"):
        if raw.get(name) is None:
            findings.append(Finding(place=name, problem="is needed"))
    if findings:
        return Err(findings)
    prompt = _chat_prompt(raw["messages"]) if shape == "chat" else raw["prompt"]
    if len(str(prompt)) > MAX_PROMPT_CHARACTERS:
        problem = f"is over {MAX_PROMPT_CHARACTERS} characters"
        place = "messages" if shape == "chat" else "prompt"
        return Err([Finding(place=place, problem=problem)])
    return Ok(_build(shape, raw, str(prompt)))


def _build(shape: str, raw: dict[str, object], prompt: str) -> GenerationBody:
    n_max_tokens = raw.get("max_completion_tokens") or raw.get("max_tokens")
    options = raw.get("stream_options")
    timeout = raw.get("timeout")
    return GenerationBody(
        shape=shape,
        model=str(raw["model"]),
        prompt=prompt,
        n_max_tokens=n_max_tokens if isinstance(n_max_tokens, int) else None,
        is_streamed=raw.get("stream") is True,
        does_include_usage=isinstance(options, dict)
        and options.get("include_usage") is True,
        timeout=float(timeout) if isinstance(timeout, int | float) else None,
        sampling={k: raw[k] for k in _SAMPLING if raw.get(k) is not None},
    )


def _text(value: object) -> str | None:
    return None if isinstance(value, str) else "should be a string"


def _name(value: object) -> str | None:
    if not isinstance(value, str) or not 0 < len(value) <= 200:
        return "should be a string of 1 to 200 characters"
    return None


def _flag(value: object) -> str | None:
    return None if isinstance(value, bool) else "should be true or false"


def _map(value: object) -> str | None:
    return None if isinstance(value, dict) else "should be an object"


def _number(low: float, high: float) -> Check:
    def check(value: object) -> str | None:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not math.isfinite(float(value)):  # type: ignore[arg-type]
            return f"should be a number from {low:g} to {high:g}"
        if not low <= float(value) <= high:  # type: ignore[arg-type]
            return f"should be from {low:g} to {high:g}"
        return None

    return check


def _whole(low: int, high: int) -> Check:
    def check(value: object) -> str | None:
        if not isinstance(value, int) or isinstance(value, bool):
            return f"should be a whole number from {low} to {high}"
        return None if low <= value <= high else f"should be from {low} to {high}"

    return check


def _only(*allowed: object) -> Check:
    """Refuse what would change the answer in a way that engines can't honour."""

    def check(value: object) -> str | None:
        if any(type(value) is type(a) and value == a for a in allowed):
            return None
        shown = ", ".join(msgspec.json.encode(a).decode() for a in allowed)
        return f"is not supported other than as null, {shown}"

    return check


def _stops(value: object) -> str | None:
    stops = [value] if isinstance(value, str) else value
    if not isinstance(stops, list) or len(stops) > MAX_STOPS:
        return f"should be a string or up to {MAX_STOPS} of them"
    if not all(isinstance(stop, str) and len(stop) <= 200 for stop in stops):
        return "should hold strings of up to 200 characters"
    return None


def _stream_options(value: object) -> str | None:
    if not isinstance(value, dict) or set(value) - {"include_usage"}:
        return "should be an object with include_usage alone"
    return _flag(value.get("include_usage", False))


def _messages(value: object) -> str | None:
    if not isinstance(value, list) or not 0 < len(value) <= MAX_MESSAGES:
        return f"should be a list of 1 to {MAX_MESSAGES} messages"
    for number, message in enumerate(value):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            return f"message {number} should be an object with role and content"
        if _content(message.get("content")) is None:
            return f"message {number} should have content: a string or text parts"
    return None


def _content(content: object) -> str | None:
    """Return a message's text; None where it is something else."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return None
    texts = []
    for part in content:
        text = part.get("text") if isinstance(part, dict) else None
        if not isinstance(text, str) or part.get("type", "text") != "text":
            return None
        texts.append(text)
    return "".join(texts)


def _chat_prompt(messages: object) -> str:
    assert isinstance(messages, list)
    lines = [f"{m['role']}: {_content(m['content'])}" for m in messages]
    return "\n".join([*lines, "assistant:"])


# Options that the engine is handed as they are.
_SAMPLING: dict[str, Check] = {
    "temperature": _number(0, 2),
    "top_p": _number(0, 1),
    "presence_penalty": _number(-2, 2),
    "frequency_penalty": _number(-2, 2),
    "seed": _whole(-(2**63), 2**63 - 1),
    "stop": _stops,
    "logit_bias": _map,
}
_COMMON: dict[str, Check] = {
    **_SAMPLING,
    "model": _name,
    "max_tokens": _whole(1, MAX_OUTPUT_TOKENS),
    "stream": _flag,
    "stream_options": _stream_options,
    "timeout": _number(0.001, MAX_TIMEOUT_SECONDS),
    "n": _only(1),
    "user": _text,
    "metadata": _map,
    "logprobs": _only(False, 0),
}
_COMPLETION: dict[str, Check] = {
    "prompt": _text,
    "best_of": _only(1),
    "echo": _only(False),
    "suffix": _only(""),
}
_CHAT: dict[str, Check] = {
    "messages": _messages,
    "max_completion_tokens": _whole(1, MAX_OUTPUT_TOKENS),
    "top_logprobs": _only(0),
    "response_format": _only({"type": "text"}),
    "tools": _only([]),
    "tool_choice": _only("none", "auto"),
    "parallel_tool_calls": _flag,
    "service_tier": _only("auto", "default"),
    "store": _only(False),
}
