"""Parses and validates the bodies of generation requests.

Each finding names the field that it is about.
"""

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

# Returns the problem with a field's value, or None if it is valid.
Check = Callable[[object], str | None]


@dataclass(frozen=True, kw_only=True, slots=True)
class GenerationBody:
    """The validated body of a generation request.

    Parameters
    ----------
    shape : str
        ``completion`` or ``chat``.
    model : str
        Name as the caller wrote it: ``MODEL`` or ``MODEL:ADAPTER``.
    prompt : str
        Prompt for the engine; chat messages are joined into one text.
    n_max_tokens : int or None
        Maximum number of output tokens; None for as many as the context holds.
    is_streamed, does_include_usage : bool
        Whether to stream the answer, and whether to end a stream with the usage.
    timeout_seconds : float or None
        Time after which the caller stops waiting, in seconds.
    sampling : dict
        Options passed to the engine unchanged.
    """

    shape: str
    model: str
    prompt: str
    n_max_tokens: int | None = None
    is_streamed: bool = False
    does_include_usage: bool = False
    timeout_seconds: float | None = None
    sampling: dict[str, object] = field(default_factory=dict)


def read_body(shape: str, data: bytes) -> Result[GenerationBody, list[Finding]]:
    """Parse and validate a request body.

    Parameters
    ----------
    shape : str
        ``completion`` or ``chat``.
    data : bytes
        The body as received.
    """
    try:
        raw = msgspec.json.decode(data, type=dict[str, object])
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        return Err([Finding(place="body", problem=f"is no JSON object: {exc}")])
    checks = {
        **_COMMON_FIELDS,
        **(_CHAT_FIELDS if shape == "chat" else _COMPLETION_FIELDS),
    }
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
    prompt = _join_messages(raw["messages"]) if shape == "chat" else raw["prompt"]
    if len(str(prompt)) > MAX_PROMPT_CHARACTERS:
        problem = f"is over {MAX_PROMPT_CHARACTERS} characters"
        place = "messages" if shape == "chat" else "prompt"
        return Err([Finding(place=place, problem=problem)])
    return Ok(_build_body(shape, raw, str(prompt)))


def _build_body(shape: str, raw: dict[str, object], prompt: str) -> GenerationBody:
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
        timeout_seconds=float(timeout) if isinstance(timeout, int | float) else None,
        sampling={k: raw[k] for k in _SAMPLING_FIELDS if raw.get(k) is not None},
    )


def _check_string(value: object) -> str | None:
    return None if isinstance(value, str) else "should be a string"


def _check_name(value: object) -> str | None:
    if not isinstance(value, str) or not 0 < len(value) <= 200:
        return "should be a string of 1 to 200 characters"
    return None


def _check_bool(value: object) -> str | None:
    return None if isinstance(value, bool) else "should be true or false"


def _check_object(value: object) -> str | None:
    return None if isinstance(value, dict) else "should be an object"


def _number_check(low: float, high: float) -> Check:
    def check(value: object) -> str | None:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not math.isfinite(float(value)):  # type: ignore[arg-type]
            return f"should be a number from {low:g} to {high:g}"
        if not low <= float(value) <= high:  # type: ignore[arg-type]
            return f"should be from {low:g} to {high:g}"
        return None

    return check


def _integer_check(low: int, high: int) -> Check:
    def check(value: object) -> str | None:
        if not isinstance(value, int) or isinstance(value, bool):
            return f"should be a whole number from {low} to {high}"
        return None if low <= value <= high else f"should be from {low} to {high}"

    return check


def _one_of_check(*allowed: object) -> Check:
    """Return a check that accepts only the given values.

    It refuses values that would change the answer in a way that engines don't support.
    """

    def check(value: object) -> str | None:
        if any(type(value) is type(option) and value == option for option in allowed):
            return None
        shown = ", ".join(msgspec.json.encode(option).decode() for option in allowed)
        return f"is not supported other than as null, {shown}"

    return check


def _check_stops(value: object) -> str | None:
    stops = [value] if isinstance(value, str) else value
    if not isinstance(stops, list) or len(stops) > MAX_STOPS:
        return f"should be a string or up to {MAX_STOPS} of them"
    if not all(isinstance(stop, str) and len(stop) <= 200 for stop in stops):
        return "should hold strings of up to 200 characters"
    return None


def _check_stream_options(value: object) -> str | None:
    if not isinstance(value, dict) or set(value) - {"include_usage"}:
        return "should be an object with include_usage alone"
    return _check_bool(value.get("include_usage", False))


def _check_messages(value: object) -> str | None:
    if not isinstance(value, list) or not 0 < len(value) <= MAX_MESSAGES:
        return f"should be a list of 1 to {MAX_MESSAGES} messages"
    for position, message in enumerate(value):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            return f"message {position} should be an object with role and content"
        if _content_text(message.get("content")) is None:
            return f"message {position} should have content: a string or text parts"
    return None


def _content_text(content: object) -> str | None:
    """Return the text of a message's content; None if it isn't text only."""
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


def _join_messages(messages: object) -> str:
    assert isinstance(messages, list)
    lines = [
        f"{message['role']}: {_content_text(message['content'])}"
        for message in messages
    ]
    return "\n".join([*lines, "assistant:"])


# Options passed to the engine unchanged.
_SAMPLING_FIELDS: dict[str, Check] = {
    "temperature": _number_check(0, 2),
    "top_p": _number_check(0, 1),
    "presence_penalty": _number_check(-2, 2),
    "frequency_penalty": _number_check(-2, 2),
    "seed": _integer_check(-(2**63), 2**63 - 1),
    "stop": _check_stops,
    "logit_bias": _check_object,
}
_COMMON_FIELDS: dict[str, Check] = {
    **_SAMPLING_FIELDS,
    "model": _check_name,
    "max_tokens": _integer_check(1, MAX_OUTPUT_TOKENS),
    "stream": _check_bool,
    "stream_options": _check_stream_options,
    "timeout": _number_check(0.001, MAX_TIMEOUT_SECONDS),
    "n": _one_of_check(1),
    "user": _check_string,
    "metadata": _check_object,
    "logprobs": _one_of_check(False, 0),
}
_COMPLETION_FIELDS: dict[str, Check] = {
    "prompt": _check_string,
    "best_of": _one_of_check(1),
    "echo": _one_of_check(False),
    "suffix": _one_of_check(""),
}
_CHAT_FIELDS: dict[str, Check] = {
    "messages": _check_messages,
    "max_completion_tokens": _integer_check(1, MAX_OUTPUT_TOKENS),
    "top_logprobs": _one_of_check(0),
    "response_format": _one_of_check({"type": "text"}),
    "tools": _one_of_check([]),
    "tool_choice": _one_of_check("none", "auto"),
    "parallel_tool_calls": _check_bool,
    "service_tier": _one_of_check("auto", "default"),
    "store": _one_of_check(False),
}
