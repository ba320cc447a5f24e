"""A soak: node processes under overlapping signals, restarts and late answers.

Endpoints start again at their addresses under new ids, and repeat answers. Engines also
leave after a notice, and have troubles around copies of runs. Callers keep their
connections until the process at the other end is gone. What callers received is then
compared with what the endpoints ran, and when.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import typer

from celerytrail.http.network import SystemNetwork
from celerytrail.types import Address
from review.rig import BOUNDS, ENGINE, HOST, KEY, ROOT, CaseError, Rig
from standins.enginemodel import EngineSpec
from standins.handovertroubles import TROUBLES, draw_troubles
from standins.lateanswers import LateAnswers
from standins.modelworker import AnswerEnds, ModelWorker, event, request_body
from standins.places import Span, Work, find_places
from standins.reach import Reach
from standins.worker import PlainWorker, Worker

from .soakcaller import Answer, SoakCaller

N_PLAIN = 6
N_ENGINES = 6
N_EVENT_TOKENS = int(str(ENGINE["stride"]))
# How long a node has to pass a stream's end on; nothing may happen to it meanwhile, in
# seconds.
PASS_SECONDS = 1.0
# Lengths of answers by kind of request; the long ones last several seconds.
N_TOKENS = {"draft": 120, "long": 600, "check": 120}
# Until when a node that was away isn't in touch, in seconds.
CONTACT_SECONDS = float(str(BOUNDS["contact-ms"])) / 1_000
LATE_SHARE = 0.3
# One of these is the share of an engine's answers that end with their connections.
UNFRAMED_SHARES = (0.0, 0.5, 1.0)
# Share of the engines with troubles around copies, and of all troubles that they have.
TROUBLED_SHARE = 0.5
TROUBLE_SHARE = 0.25
# One caller in so many speaks HTTP/1.0.
OLD_CALLERS = 4
# Interval between two disruptions, and between two restarts of endpoints, in seconds.
DISRUPTION_SECONDS = 0.7
RESTART_SECONDS = 1.0
# Interval between two engines that leave, and their notices, in seconds.
LEAVE_SECONDS = 2.0
NOTICE_SECONDS = (0.3, 4.0)
# Interval at which the engines' own process is watched, and a delay of it that counts
# as a time in which no node reaches them, in seconds.
WATCH_SECONDS = 0.05
STALL_SECONDS = 0.1
# A row outlives its endpoint by three heartbeats, in seconds.
ROW_SECONDS = 3.6
# How long a stopped node is waited for, and callers finish, in seconds.
STOP_SECONDS = 20.0
DRAIN_SECONDS = 15.0
# Statuses that promise that a request hasn't run and never will.
NOT_RUN = (408, 421, 429, 503)
KINDS = ("file", "file", "look", "draft", "long", "check")
ONCE = ("file", "draft", "long")


@dataclass(frozen=True, kw_only=True)
class Call:
    """A request of a caller, the host of its node, and what the caller received."""

    kind: str
    attempt_id: str
    host: str
    body: bytes
    answer: Answer


@dataclass(frozen=True, kw_only=True)
class Report:
    """What a soak has shown.

    Parameters
    ----------
    broken, at_two : list of str
        Broken promises, and requests that two engines worked on for too long.
    counts : Counter of str
        How often things happened.
    folder : Path
        Has the nodes' logs and the engines' works if anything was broken.
    """

    broken: list[str]
    at_two: list[str]
    counts: Counter[str]
    folder: Path


class SoakNodes(Rig):
    """The nodes of a soak, run by the interpreter that runs the soak."""

    async def wait_ready(self, name: str) -> None:
        """Wait until a node is ready.

        Raises
        ------
        CaseError
            If it doesn't get ready.
        """
        position = list(self.processes).index(name)
        await self._wait_ready(self.callers[position][0], self._ready_port)

    async def restart(self, name: str, number: signal.Signals) -> None:
        """End a node by a signal, and start it again once it has exited."""
        process = self.processes[name]
        process.send_signal(number)
        exited = asyncio.ensure_future(asyncio.to_thread(process.wait))
        await asyncio.wait({exited}, timeout=STOP_SECONDS)
        if not exited.done():
            process.kill()
            await exited
        path = self._settings_path(name)
        settings = json.loads(path.read_text())
        path.write_text(json.dumps({**settings, "bootstrap": False}))
        self.processes[name] = self._start_node(name, path)

    def host_of(self, name: str) -> str:
        """Return the host of a node."""
        return self.callers[list(self.processes).index(name)][0]

    def keep_logs(self) -> None:
        """Copy the nodes' logs to the folder, which stays."""
        for path in Path(self._temporary.name).glob("*.log"):
            shutil.copy(path, self.folder)

    def _settings_path(self, name: str) -> Path:
        return Path(self._temporary.name) / f"{name}.json"

    def _start_node(self, name: str, settings: Path) -> subprocess.Popen[bytes]:
        with settings.with_suffix(".log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "celerytrail", "node"],
                cwd=ROOT,
                env={**os.environ, "CELERYTRAIL_SETTINGS": str(settings)},
                stdout=log,
                stderr=log,
            )


class Soak:
    """Runs nodes, endpoints, callers and disruptions for a while.

    Parameters
    ----------
    seed : int
        Draws the disruptions and the requests.
    n_nodes, n_callers : int
        Node processes, and callers that send one request after the other.
    seconds : float
        How long callers begin new requests.
    """

    def __init__(
        self, *, seed: int, n_nodes: int = 3, n_callers: int = 12, seconds: float = 20.0
    ) -> None:
        self._rng = random.Random(seed)
        self._has_backups = self._rng.random() < 0.5
        self._n_nodes = n_nodes
        self._n_callers = n_callers
        self._seconds = seconds
        self._nodes = SoakNodes(folder=Path(tempfile.mkdtemp(prefix="soak-")))
        self._present: list[Worker] = []
        self._workers: list[Worker] = []
        self._calls: list[Call] = []
        self._counts: Counter[str] = Counter()
        self._version = 1
        self._n_requests = 0
        self._disturbed: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._broken: list[str] = []
        self._reach = Reach()

    async def run(self) -> Report:
        """Run the soak and return what it has shown."""
        try:
            await self._start()
            ends_at = asyncio.get_running_loop().time() + self._seconds
            callers = [
                asyncio.ensure_future(self._call_until(ends_at, number))
                for number in range(self._n_callers)
            ]
            disturbing = [
                asyncio.ensure_future(self._disturb()),
                asyncio.ensure_future(self._restart_endpoints()),
                asyncio.ensure_future(self._let_engines_leave()),
                asyncio.ensure_future(self._watch_stalls()),
            ]
            await asyncio.wait(callers, timeout=self._seconds + DRAIN_SECONDS)
            for task in disturbing:
                task.cancel()
            for task in [*callers, *disturbing]:
                if task.done() and not task.cancelled():
                    task.result()
                task.cancel()
            return self._report()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await self._nodes.close()
            for worker in self._present:
                await worker.close()

    # Endpoints.

    async def _start(self) -> None:
        self._nodes.store.put("op", "config", self._configuration())
        for number in range(N_PLAIN):
            await self._add(PlainWorker(worker_id=f"desk-{number}"), None)
        for number in range(N_ENGINES):
            await self._add(self._make_engine(f"engine-{number}"), None)
        await self._nodes.start_nodes(self._n_nodes)

    def _make_engine(self, name: str) -> ModelWorker:
        engine = ModelWorker(
            worker_id=name,
            failure_domain="a",
            spec=EngineSpec(),
            find_engine=self._find_engine,
            network=SystemNetwork(),
        )
        engine.answer_ends = AnswerEnds(
            unframed_share=self._rng.choice(UNFRAMED_SHARES), rng=self._rng
        )
        if self._rng.random() < TROUBLED_SHARE:
            draw_troubles(engine, self._rng, TROUBLES, TROUBLE_SHARE)
            self._counts["engines with troubles"] += 1
        return engine

    def _find_engine(self, address: str) -> ModelWorker | None:
        found = (one for one in self._present if str(one.address) == address)
        engine = next(found, None)
        return engine if isinstance(engine, ModelWorker) else None

    async def _add(self, worker: Worker, address: Address | None) -> None:
        worker.late_answers = LateAnswers(rng=self._rng, share=LATE_SHARE)
        # Clocks differ: half of the starts aren't later than the former ones by theirs.
        worker.born = 1 + self._rng.randrange(2) * len(self._workers)
        await worker.start(address)
        self._present.append(worker)
        self._workers.append(worker)
        self._put_row(worker)

    def _put_row(self, worker: Worker, state: str = "ready") -> None:
        service = "models" if isinstance(worker, ModelWorker) else "desk"
        row = worker.row(service, state, slots=24)
        self._nodes.store.put("servers", worker.worker_id, row)

    async def _restart_endpoints(self) -> None:
        """Start endpoints again at their addresses under new ids, one after another."""
        while True:
            await asyncio.sleep(RESTART_SECONDS)
            former = self._rng.choice([one for one in self._present if _stays(one)])
            self._present.remove(former)
            await former.close()
            name = self._next_name(former)
            is_engine = isinstance(former, ModelWorker)
            worker = (
                self._make_engine(name) if is_engine else PlainWorker(worker_id=name)
            )
            await self._add(worker, former.address)
            self._start_task(self._drop_row(former.worker_id))
            self._counts["endpoints restarted"] += 1

    def _next_name(self, former: Worker) -> str:
        return f"{former.worker_id.split('+')[0]}+{len(self._workers)}"

    async def _let_engines_leave(self) -> None:
        """Let engines leave one after another; their notices overlap."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.2, 1.8) * LEAVE_SECONDS)
            engine = self._rng.choice(
                [
                    one
                    for one in self._present
                    if isinstance(one, ModelWorker) and _stays(one)
                ]
            )
            self._start_task(self._leave(engine, self._rng.uniform(*NOTICE_SECONDS)))
            await self._add(self._make_engine(self._next_name(engine)), None)
            self._counts["engines left"] += 1

    async def _leave(self, engine: ModelWorker, seconds: float) -> None:
        engine.leaving_at = asyncio.get_running_loop().time() + seconds
        self._put_row(engine, "draining")
        await asyncio.sleep(seconds)
        self._present.remove(engine)
        await engine.close()
        self._nodes.store.drop("servers", engine.worker_id)

    async def _watch_stalls(self) -> None:
        """Record when the engines' own process was held up."""
        loop = asyncio.get_running_loop()
        while True:
            slept_at = loop.time()
            await asyncio.sleep(WATCH_SECONDS)
            woken_at = loop.time()
            if woken_at - slept_at > WATCH_SECONDS + STALL_SECONDS:
                self._reach.add("", "", (slept_at, woken_at))
                self._counts["stalls of the engines' process"] += 1

    async def _drop_row(self, name: str) -> None:
        await asyncio.sleep(ROW_SECONDS)
        self._nodes.store.drop("servers", name)

    def _configuration(self) -> dict[str, object]:
        def route(name: str, kind: str, service: str, **more: object) -> object:
            return {
                "name": name,
                "hostname": HOST,
                "prefix": f"/{name}/",
                "route-type": kind,
                "timeout-ms": 8_000,
                "target-latency-ms": 1_500,
                "priority": 1,
                "service": service,
                "max-attempts": 2,
                "public": False,
                **more,
            }

        streaming = {"session-affinity": True, "gap-target-ms": 180}
        once = {**streaming, "resumable": False}
        engine = {**ENGINE, "backups": self._has_backups}
        return {
            "version": self._version,
            "routes": [
                route("file", "unsafe", "desk", **{"max-attempts": 1}),
                route("look", "safe", "desk"),
                route("draft", "streaming", "models", **once),
                route("long", "streaming", "models", **once),
                route("check", "streaming", "models", resumable=True, **streaming),
            ],
            "services": [
                {"name": "models", "health-path": "/health", "engine": engine},
                {"name": "desk", "health-path": "/health"},
            ],
            "tenants": [{"name": "org", "api-keys": [KEY]}],
        }

    # Disruptions.

    async def _disturb(self) -> None:
        """Begin disruptions one after the other; they overlap."""
        kinds: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._stop_node,
            self._kill_node,
            self._freeze_node,
            self._reload_node,
            self._silence_store,
            self._change_configuration,
        ]
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * DISRUPTION_SECONDS)
            kind = self._rng.choice(kinds)
            self._counts[kind.__name__.strip("_")] += 1
            self._start_task(kind())

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _with_node(self, action: Callable[[str], Awaitable[None]]) -> None:
        """Act on a node that no other disruption acts on, if one is left."""
        calm = sorted(self._nodes.processes.keys() - self._disturbed)
        # One node stays calm, so that callers are served.
        if len(calm) < 2:
            return
        name = self._rng.choice(calm)
        self._disturbed.add(name)
        try:
            await action(name)
            await self._nodes.wait_ready(name)
        except CaseError as exc:
            self._broken.append(f"RECOVER {name}: {exc}")
        finally:
            self._disturbed.discard(name)

    async def _with_node_away(self, action: Callable[[str], Awaitable[None]]) -> None:
        """Act on a node that isn't in touch meanwhile, and for a while after that."""

        async def act(name: str) -> None:
            host = self._nodes.host_of(name)
            self._reach.lose(host, "")
            await action(name)
            self._reach.find(host, "", CONTACT_SECONDS)

        await self._with_node(act)

    async def _stop_node(self) -> None:
        await self._with_node_away(
            lambda name: self._nodes.restart(name, signal.SIGTERM)
        )

    async def _kill_node(self) -> None:
        await self._with_node_away(
            lambda name: self._nodes.restart(name, signal.SIGKILL)
        )

    async def _freeze_node(self) -> None:
        seconds = self._rng.uniform(0.2, 3.0)

        async def freeze(name: str) -> None:
            self._nodes.processes[name].send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self._nodes.processes[name].send_signal(signal.SIGCONT)

        await self._with_node_away(freeze)

    async def _reload_node(self) -> None:
        async def reload(name: str) -> None:
            self._nodes.processes[name].send_signal(signal.SIGHUP)

        await self._with_node(reload)

    async def _silence_store(self) -> None:
        self._nodes.store.faults.is_silent = True
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        self._nodes.store.faults.is_silent = False

    async def _change_configuration(self) -> None:
        self._version += 1
        self._nodes.store.put("op", "config", self._configuration())

    # Callers.

    async def _call_until(self, ends_at: float, number: int) -> None:
        is_old = number % OLD_CALLERS == 0
        caller = SoakCaller(addresses=self._nodes.callers, first=number, is_old=is_old)
        try:
            while asyncio.get_running_loop().time() < ends_at:
                await self._call(caller)
        finally:
            caller.close()

    async def _call(self, caller: SoakCaller) -> None:
        self._n_requests += 1
        attempt_id = f"a{self._n_requests:06}"
        kind = self._rng.choice(KINDS)
        body = f"{kind} {attempt_id}".encode()
        n_tokens = N_TOKENS.get(kind, 1)
        if kind in N_TOKENS:
            body = request_body(n_tokens)
        headers = {
            "host": HOST,
            "authorization": f"Bearer {KEY}",
            "x-attempt-id": attempt_id,
            "x-time-budget-ms": "8000",
            "x-model-name": "m",
            "x-token-count": f"200,{n_tokens}",
            "x-prompt-prefix": f"{self._n_requests:06x}:200",
        }
        answer = await caller.request(f"/{kind}/1", headers, body)
        self._calls.append(
            Call(
                kind=kind,
                attempt_id=attempt_id,
                host=caller.host,
                body=body,
                answer=answer,
            )
        )
        self._counts[f"{kind} {answer.status or 'closed'}"] += 1
        if caller.is_old:
            self._counts[f"HTTP/1.0 {answer.status or 'closed'}"] += 1
        if answer.status != 200:
            await asyncio.sleep(0.05)

    # Checks.

    def _report(self) -> Report:
        report = Report(
            broken=self._find_broken(),
            at_two=self._find_at_two(),
            counts=self._counts,
            folder=self._nodes.folder,
        )
        if report.broken or report.at_two:
            self._nodes.keep_logs()
            works = [
                asdict(work) for one in self._workers for work in one.work_log.works
            ]
            (report.folder / "works.json").write_text(json.dumps(works, indent=1))
        return report

    def _find_at_two(self) -> list[str]:
        """Return requests that may run once, at two engines for too long."""
        hosts = {call.attempt_id: call.host for call in self._calls}

        def exempt(work: Work) -> list[Span]:
            # A request without an answer has no host; its node isn't known.
            return self._reach.spans([hosts.get(work.attempt_id, "")], work.endpoint)

        logs = [worker.work_log for worker in self._workers]
        now = asyncio.get_running_loop().time()
        places = find_places(logs, now, exempt)
        at_two = []
        for call in self._calls:
            one = places.get(call.attempt_id)
            if call.kind not in ONCE or one is None:
                continue
            self._counts["drafts moved"] += one.n_from_copies > 0
            if one.is_at_two:
                at_two.append(
                    f"TWICE {call.kind} {call.attempt_id}: at two engines for "
                    f"{one.overlap_seconds:.2f} s, through {call.host}"
                )
        return at_two

    def _find_broken(self) -> list[str]:
        runs: Counter[str] = Counter()
        for worker in self._workers:
            if isinstance(worker, ModelWorker):
                runs.update(worker.prefilled_ids)
                self._counts["runs stopped"] += len(worker.stopped)
            else:
                runs.update(worker.ran)
            assert worker.late_answers is not None
            self._counts["late answers"] += worker.late_answers.n_sent
        broken = list(self._broken)
        for call in self._calls:
            n_runs = runs[call.attempt_id]
            is_once = call.kind in ONCE
            if is_once and n_runs > 1:
                broken.append(f"TWICE {call.kind} {call.attempt_id}: {n_runs} runs")
            if is_once and n_runs and call.answer.status in NOT_RUN:
                broken.append(f"REFUSED {call.kind} {call.attempt_id}")
            problem = self._problem_of(call)
            if problem:
                broken.append(f"{problem} {call.kind} {call.attempt_id}")
        return broken + self._find_cut_ends()

    def _find_cut_ends(self) -> list[str]:
        """Return streams that engines sent to their ends, and that came cut."""
        works: defaultdict[str, list[Work]] = defaultdict(list)
        ended: set[str] = set()
        for worker in self._workers:
            if isinstance(worker, ModelWorker):
                ended.update(work.attempt_id for work in worker.ended)
                for work in worker.work_log.works:
                    works[work.attempt_id].append(work)
        cut = []
        for call in self._calls:
            # A stream that goes on at another engine isn't taken before that engine's
            # version is known.
            if call.attempt_id not in ended or len(works[call.attempt_id]) > 1:
                continue
            if not call.answer.body:
                continue
            (work,) = works[call.attempt_id]
            spans = self._reach.spans([call.host], work.endpoint)
            if call.answer.is_complete or any(
                since < work.ended_at + PASS_SECONDS
                and until > work.ended_at - PASS_SECONDS
                for since, until in spans
            ):
                continue
            cut.append(
                f"LOST {call.kind} {call.attempt_id}: cut, and {work.endpoint} sent its"
                f" end, through {call.host}"
            )
        return cut

    @staticmethod
    def _problem_of(call: Call) -> str:
        """Return the rule that an answer breaks by itself; empty for none."""
        answer = call.answer
        if answer.status is None:
            return ""
        if answer.headers.get("x-attempt-id") != call.attempt_id:
            return "MIXED"
        if "x-response-seal" not in answer.headers:
            return "MIXED" if answer.status < 400 else ""
        if call.kind in N_TOKENS:
            n_events = N_TOKENS[call.kind] // N_EVENT_TOKENS
            events = [event(call.attempt_id, n) for n in range(n_events)]
            whole = b"".join(events)
            is_right = whole.startswith(answer.body)
            is_right &= not answer.is_complete or answer.body == whole
            return "" if is_right else "ORDER"
        is_own = answer.body.partition(b" ")[2] == call.body
        return "" if is_own or not answer.is_complete else "MIXED"


def _stays(worker: Worker) -> bool:
    """Return whether a worker doesn't leave."""
    return not isinstance(worker, ModelWorker) or worker.leaving_at is None


def main(
    seed: int = 1, seconds: float = 60.0, nodes: int = 4, callers: int = 16
) -> None:
    """Run one soak, print its counts, and fail if a promise was broken."""
    soak = Soak(seed=seed, seconds=seconds, n_nodes=nodes, n_callers=callers)
    report = asyncio.run(soak.run())
    for name, n_seen in sorted(report.counts.items()):
        print(f"{name}: {n_seen}")
    broken = report.broken + report.at_two
    for line in broken:
        print(f"broken: {line}")
    if broken:
        print(f"logs: {report.folder}")
    print(f"soak: seed {seed}, {len(broken)} broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)
