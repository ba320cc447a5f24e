"""What a scenario calls a stand-in's fault, and the body that switches it on."""

from __future__ import annotations

# A value in the place of `VALUE` is the number that the sentence gives.
VALUE = "VALUE"
# Likewise, so many seconds from now on the wall clock.
SECONDS_FROM_NOW = "SECONDS_FROM_NOW"

FAULTS: dict[str, dict[str, object]] = {
    # All stand-ins.
    "outage": {"name": "outage"},
    "refusing": {"name": "refuse", "until_at": SECONDS_FROM_NOW},
    "slowness": {"name": "slow", "seconds": VALUE},
    "freezing": {"name": "freeze", "until_at": SECONDS_FROM_NOW},
    "stalling": {"name": "stall"},
    "stalling-once": {"name": "stall", "n": 1},
    "losing-one-reply": {"name": "lose_reply", "n": 1},
    "losing-replies": {"name": "lose_reply"},
    # The platform.
    "staleness": {"name": "stale"},
    # Engines.
    "cutting-a-stream": {
        "name": "lose_reply",
        "path": "/generate",
        "after_writes": VALUE,
        "n": 1,
    },
    "stalling-a-stream": {
        "name": "stall",
        "path": "/generate",
        "after_writes": VALUE,
        "n": 1,
    },
    "resending": {"name": "resend", "tokens": VALUE},
    "skipping": {"name": "skip", "tokens": VALUE, "n": 1},
    "crossing": {"name": "crossed", "n": 1},
    "swapping": {"name": "swap", "n": 1},
    "leaving": {"name": "leaving", "in_seconds": VALUE},
    # Endpoints.
    "refusing-work": {"name": "refuse_work"},
    "losing-a-filing": {"name": "lose_reply", "path": "/call", "n": 1},
}


def fault_body(fault: str, value: float | None, wall: float) -> dict[str, object]:
    """Return the body of ``PUT /faults``.

    Raises
    ------
    ValueError
        When there is no such fault, or it needs a value.
    """
    if fault not in FAULTS:
        raise ValueError(f"{fault!r} is none of {', '.join(sorted(FAULTS))}")
    body: dict[str, object] = {}
    for name, part in FAULTS[fault].items():
        if part not in (VALUE, SECONDS_FROM_NOW):
            body[name] = part
            continue
        if value is None:
            raise ValueError(f"{fault!r} needs a value, as in 'by {fault} of 3'")
        body[name] = value if part == VALUE else wall + value
        if part == VALUE and value.is_integer() and name != "seconds":
            body[name] = int(value)
    return body
