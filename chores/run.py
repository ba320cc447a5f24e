"""Run a whole system until it is interrupted, and print example requests."""

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
    other_node = system.children["node-2"]
    console = system.children["console"].address
    headers = f"-H 'authorization: Bearer {key}' -H 'content-type: application/json'"
    body = f'{{"model":"{MODEL}","prompt":"Draft a contract","stream":true}}'
    password = system.operator_password
    print(f"""
The console: http://{console}/  (operator {OPERATOR}, password {password})
Logs: {system.folder}

The current addresses:
  curl http://{node.address}/v1/addresses
A draft, token by token; each event's id is TICKET.OFFSET:
  curl -N http://{node.address}/v1/completions {headers} \\
    -d '{body}'
Resume it at another node, after its last event:
  curl -N http://{other_node.address}/v1/generations/TICKET {headers} \\
    -H 'last-event-id: TICKET.OFFSET'
A filing that runs once per idempotency key, even when it is repeated:
  curl http://{node.address}/v1/services/{SERVICE}/file {headers} \\
    -H 'idempotency-key: my-filing' -d '{{"signed_by":"R. Alvarez"}}'
The status of that filing:
  curl http://{other_node.address}/v1/services/{SERVICE}/calls/my-filing {headers}
The merged timeline of all processes:
  {sys.executable} -m celerytrail timeline {system.folder}/*.log
Kill a node: kill -9 {node.pid}   Stop one gracefully: kill {other_node.pid}

Control-C stops all processes.
""")


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(_main()))
    except KeyboardInterrupt:
        sys.exit(0)
