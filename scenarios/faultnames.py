"""Names of the stand-ins' faults in scenarios, and the body that enables each."""

from __future__ import annotations

# Placeholder for the number that the scenario's step gives.
VALUE = "VALUE"
# Placeholder for the wall-clock time that is the step's number of seconds from now.
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
    """Return the body of ``PUT /faults`` that enables a fault.

    Raises
    ------
    ValueError
        If the fault does not exist, or needs a value and has none.
    """
    if fault not in FAULTS:
        raise ValueError(
            f"unknown fault {fault!r}; known faults: {', '.join(sorted(FAULTS))}"
        )
    body: dict[str, object] = {}
    for name, setting in FAULTS[fault].items():
        if setting not in (VALUE, SECONDS_FROM_NOW):
            body[name] = setting
            continue
        if value is None:
            raise ValueError(f"{fault!r} needs a value, as in 'by {fault} of 3'")
        body[name] = value if setting == VALUE else wall + value
        if setting == VALUE and value.is_integer() and name != "seconds":
            body[name] = int(value)
    return body
