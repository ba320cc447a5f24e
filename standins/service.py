"""A stand-in for one endpoint of a plain service, with a ledger of what it ran.

Besides the routes of ``docs/DESIGN.md`` it has ``PUT /state`` with
``{"leaving_at": t}`` or ``{"leaving_at": null}``. Each result contains the number of
the run in the ledger. Faults of its own (``path`` may restrict them to an operation):

``refuse_work``
    Refuses calls as not run, with ``retry_after``.
``forget_ledger``
    Runs calls without an entry in the ledger, to prove that a check of the ledger
    notices a missing one.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import Annotated

import msgspec
import typer

from celerytrail.clock import Clock, SystemClock
from celerytrail.http.messages import Request
from celerytrail.http.routes import Params, Router, send_error
from celerytrail.http.server import Responder
from celerytrail.log import TASK_HEADER, continue_task, start_logging
from celerytrail.types import Address

from .faults import Faults, FaultyServer
from .platform import parse_listen


class _State(msgspec.Struct, forbid_unknown_fields=True):
    leaving_at: float | None = None


class ServiceStandin:
    """One endpoint in one process.

    Parameters
    ----------
    name : str
        Its name in the document.
    capacity : int
        Calls that run at one time; as many more may wait, and the rest are refused.
    run_seconds : float
        How long a call takes.
    clock : Clock
        Source of the wall time.
    """

    def __init__(
        self,
        *,
        name: str,
        capacity: int = 16,
        run_seconds: float = 0.0,
        clock: Clock | None = None,
    ) -> None:
        self.name = name
        self.incarnation = secrets.token_hex(4)
        self.runs: list[dict[str, object]] = []
        self.leaving_at: float | None = None
        self._clock = clock or SystemClock()
        self._capacity = capacity
        self._run_seconds = run_seconds
        self._slots = asyncio.Semaphore(capacity)
        self._n_running = 0
        self._n_waiting = 0
        self.faults = Faults(
            clock=self._clock, more_names=("refuse_work", "forget_ledger")
        )
        self.server = FaultyServer(inner=self._router(), faults=self.faults)

    def _router(self) -> Router:
        router = Router()
        router.add("POST", "/call/{operation}", self._call)
        router.add("GET", "/load", self._load)
        router.add("GET", "/ledger", self._ledger)
        router.add("PUT", "/state", self._put_state)
        return router

    async def _call(self, req: Request, res: Responder, params: Params) -> None:
        if (reason := self._refusal(req)) is not None:
            fault = self.faults.take("refuse_work", req.path)
            retry_after = 1.0 if fault is None else fault.retry_after
            body = {"not_run": True, "reason": reason, "retry_after": retry_after}
            await res.send_json(503, body)
            return
        try:
            value = msgspec.json.decode(req.body or b"null")
        except msgspec.DecodeError as exc:
            await send_error(res, 400, "bad_request", place="body", message=str(exc))
            return
        with continue_task(
            req.headers.get(TASK_HEADER),
            "endpoint:run",
            attempt=req.headers.get("x-attempt-id", ""),
        ):
            number = await self._run(req, params["operation"], value)
        result = {"operation": params["operation"], "run": number, "by": self.name}
        await res.send_json(200, result)

    async def _run(self, req: Request, operation: str, value: object) -> int:
        self._n_waiting += 1
        async with self._slots:
            self._n_waiting -= 1
            self._n_running += 1
            # The entry is made before the run ends: a call that is cut while it runs
            # counts as run.
            number = self._record_run(req, operation, value)
            await asyncio.sleep(self._run_seconds)
            self._n_running -= 1
        return number

    def _refusal(self, req: Request) -> str | None:
        """Return why a call is refused without being run, or None."""
        if self.faults.find("refuse_work", req.path) is not None:
            return "refused"
        if self._n_waiting >= self._capacity:
            return "overload"
        deadline_at = req.headers.get("x-deadline-at")
        if deadline_at is not None and self._clock.wall() > float(deadline_at):
            return "deadline"
        return None

    def _record_run(self, req: Request, operation: str, value: object) -> int:
        if self.faults.find("forget_ledger", req.path) is None:
            self.runs.append(
                {
                    "operation": operation,
                    "organisation": req.headers.get("x-organisation", ""),
                    "attempt_id": req.headers.get("x-attempt-id", ""),
                    "body": value,
                    "at": self._clock.wall(),
                }
            )
        return len(self.runs)

    async def _load(self, req: Request, res: Responder, _: Params) -> None:
        report = {
            "endpoint": self.name,
            "incarnation": self.incarnation,
            "n_running": self._n_running,
            "n_waiting": self._n_waiting,
            "capacity": self._capacity,
            "leaving_at": self.leaving_at,
        }
        await res.send_json(200, report)

    async def _ledger(self, req: Request, res: Responder, _: Params) -> None:
        await res.send_json(200, {"runs": self.runs})

    async def _put_state(self, req: Request, res: Responder, _: Params) -> None:
        self.leaving_at = msgspec.json.decode(req.body, type=_State).leaving_at
        await res.send(204)


async def _serve(name: str, capacity: int, run_seconds: float, listen: Address) -> None:
    standin = ServiceStandin(name=name, capacity=capacity, run_seconds=run_seconds)
    address = await standin.server.start(listen)
    print(f"listening {address}", flush=True)
    await asyncio.Event().wait()


def main(
    listen: Annotated[str, typer.Option(help="IP:PORT; port 0 selects a free port.")],
    name: Annotated[str, typer.Option(help="The endpoint's name in the document.")],
    capacity: Annotated[int, typer.Option(help="Calls that run at one time.")] = 16,
    run_seconds: Annotated[
        float, typer.Option(help="Duration of a call in seconds.")
    ] = 0.0,
    log: Annotated[str, typer.Option(help="Log file; no log without it.")] = "",
) -> None:
    """Run a stand-in for an endpoint of a plain service until it is stopped."""
    if log:
        start_logging(name, log)
    asyncio.run(_serve(name, capacity, run_seconds, parse_listen(listen)))


if __name__ == "__main__":
    typer.run(main)
