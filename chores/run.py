"""Leaves a whole system up to play with, and prints what to try."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

from .documents import first_document
from .operator import Operator
from .system import MODEL, SERVICE, Layout, System

ORGANISATION = "lone-star"
OPERATOR = "ana"


async def _main() -> int:
    with tempfile.TemporaryDirectory(prefix="celerytrail-run-") as folder:
        system = System(folder=Path(folder), layout=Layout(answer_seconds=10.0))
        try:
            await system.start()
            document, keys = first_document(system.children, ORGANISATION)
            operator = Operator(console=system.children["console"].address)
            await operator.log_in(OPERATOR, system.operator_password)
            await operator.submit(document, note="the first document")
            _print_help(system, keys[ORGANISATION])
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            pass
        finally:
            system.stop()
    return 0


def _print_help(system: System, key: str) -> None:
    node = system.children["node-1"]
    other = system.children["node-2"]
    console = system.children["console"].address
    head = f"-H 'authorization: Bearer {key}' -H 'content-type: application/json'"
    body = f'{{"model":"{MODEL}","prompt":"Draft a contract","stream":true}}'
    password = system.operator_password
    print(f"""
The console: http://{console}/  (operator {OPERATOR}, password {password})
Logs: {system.folder}

Which addresses to use:
  curl http://{node.address}/v1/addresses
A draft, token by token; each event's id is TICKET.OFFSET:
  curl -N http://{node.address}/v1/completions {head} \\
    -d '{body}'
The rest of it from another node, after its last event:
  curl -N http://{other.address}/v1/generations/TICKET {head} \\
    -H 'last-event-id: TICKET.OFFSET'
A filing that runs once for its key, however often it is sent:
  curl http://{node.address}/v1/services/{SERVICE}/file {head} \\
    -H 'idempotency-key: my-filing' -d '{{"signed_by":"R. Alvarez"}}'
What became of it:
  curl http://{other.address}/v1/services/{SERVICE}/calls/my-filing {head}
One time line of all processes:
  {sys.executable} -m celerytrail timeline {system.folder}/*.log
Kill a node: kill -9 {node.pid}   Stop one gracefully: kill {other.pid}

Control-C ends everything.
""")


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(_main()))
    except KeyboardInterrupt:
        sys.exit(0)
