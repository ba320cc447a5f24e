"""Limits per organisation over many nodes: lending, borrowing and their messages."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Sequence

import msgspec
from eliot import log_message
from result import Err

from ..clock import Clock
from ..configuration.current import Configuration
from ..configuration.document import VersionedDocument
from ..decoding import decode_json
from ..http.client import HttpClient
from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..policies.limits import Limit, LimitBorrower, LimitLender, Loan, LoanRequest
from ..supervision import BackgroundTasks, Supervisor
from ..types import NotRun
from .exchange import refuse_signature
from .homes import N_ELIGIBLE_HOMES
from .member import Member
from .signing import PeerKeys
from .view import NodesView, Ranking

BORROW_PATH = "/peer/v1/borrow"
# Interval at which this node requests the loans that its borrower needs.
ROUND_INTERVAL_SECONDS = 0.1
EXCHANGE_TIMEOUT_SECONDS = 1.0
FORGET_INTERVAL_SECONDS = 10.0
# Each group of organisations has one home, so that loans for a group share an exchange.
# More groups spread the lending over more nodes; fewer save exchanges.
N_GROUPS = 64


class _LoanRequestRow(msgspec.Struct, array_like=True, frozen=True):
    """Wire form of a `LoanRequest`, without its borrower."""

    organisation: str
    n_tokens: int
    n_places: int
    n_places_used: int


class _LoanRow(msgspec.Struct, array_like=True, frozen=True):
    """Wire form of a `Loan`."""

    organisation: str
    n_tokens: int
    n_places: int


class BorrowBody(msgspec.Struct, frozen=True, kw_only=True):
    """A request of an entry node for loans from a limit home."""

    sender: str
    asked: list[_LoanRequestRow]


class BorrowAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The loans of a limit home; organisations that have another home are left out."""

    lent: list[_LoanRow]


class LimitHomes:
    """Enforces organisations' limits across all nodes by lending and borrowing.

    Parameters
    ----------
    nodes : NodesView
        The live nodes.
    configuration : Configuration
        Lists the limits.
    keys : PeerKeys
        Sign requests and verify their signatures.
    client : HttpClient
        Sends requests.
    clock : Clock
        Monotonic time.
    metrics : Metrics
        Counts bad input.
    """

    def __init__(
        self,
        *,
        nodes: NodesView,
        configuration: Configuration,
        keys: PeerKeys,
        client: HttpClient,
        clock: Clock,
        metrics: Metrics,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(metrics=metrics)
        self._nodes = nodes
        self._keys = keys
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._ranking = Ranking(nodes=nodes)
        self._lender = LimitLender()
        self._borrower = LimitBorrower(name=nodes.me.node)
        self._limits: dict[str, Limit] = {}
        self._home_since: dict[str, float] = {}
        self._is_ranking_stale = True
        nodes.on_change(self._on_nodes_change)
        self._task: asyncio.Task[None] | None = None
        self._exchanges = BackgroundTasks()
        self._forget_at = 0.0
        self._apply_document(configuration.current)
        configuration.subscribe(self._apply_document)

    def add_routes(self, router: Router) -> None:
        """Add the route by which entry nodes borrow."""
        router.add("POST", BORROW_PATH, self._on_borrow)

    async def start(self) -> None:
        """Start borrowing."""
        self._task = self._supervisor.start("limits", self._run)

    async def stop(self) -> None:
        """Stop borrowing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
        await self._exchanges.aclose()

    def admit(self, organisation: str, n_tokens: float) -> NotRun | None:
        """Take a place and tokens for a generation or return the refusal, at once."""
        limit = self._limits.get(organisation)
        if limit is None:
            return None
        return self._borrower.admit(
            organisation,
            limit,
            n_tokens,
            n_nodes=max(1, len(self._nodes.live())),
            now=self._clock.monotonic(),
        )

    def has_passed(self, deadline: float) -> bool:
        """Return whether a deadline has passed."""
        return self._clock.monotonic() >= deadline

    def settle(self, organisation: str, n_tokens: float) -> None:
        """Charge tokens beyond those taken, or refund some when negative."""
        self._borrower.settle(organisation, n_tokens)

    def release(self, organisation: str) -> None:
        """Free the place of a generation that has ended."""
        self._borrower.release(organisation)

    def _apply_document(self, current: VersionedDocument) -> None:
        self._limits = {
            spec.name: Limit(
                n_tokens_per_second=spec.n_tokens_per_second,
                n_concurrent=spec.n_concurrent,
            )
            for spec in current.document.organisations
            if spec.n_tokens_per_second is not None or spec.n_concurrent is not None
        }

    def _on_nodes_change(self) -> None:
        self._is_ranking_stale = True

    def _update_home_since(self) -> None:
        """Record since when this node has been the home of each group."""
        self._is_ranking_stale = False
        now = self._clock.monotonic()
        me = self._nodes.me.node
        for number in range(N_GROUPS):
            group = _group_name(number)
            order = self._ranking.ranked_nodes(group, None)
            if not order or order[0].node != me:
                self._home_since.pop(group, None)
            else:
                self._home_since.setdefault(group, now)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_SECONDS)
            try:
                self._borrow_round()
            except Exception as exc:
                # If the rounds ended, every limit would stay at the last loan and the
                # organisations would be refused for ever.
                log_message("limits:round_failed", problem=repr(exc))

    def _borrow_round(self) -> None:
        now = self._clock.monotonic()
        if self._is_ranking_stale:
            self._update_home_since()
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL_SECONDS
            self._lender.forget_idle(now)
        by_home: dict[str, tuple[Member, list[LoanRequest]]] = {}
        for req in self._borrower.requests(now):
            order = self._ranking.ranked_nodes(_group_of(req.organisation), None)
            if order:
                by_home.setdefault(order[0].node, (order[0], []))[1].append(req)
        for home, requests in by_home.values():
            if home.node == self._nodes.me.node:
                self._receive(self._make_loans(home.node, requests))
                continue
            self._exchanges.spawn(self._request_loans(home, requests))

    def _receive(self, loans: Sequence[Loan]) -> None:
        now = self._clock.monotonic()
        for loan in loans:
            self._borrower.receive(loan, now)

    def _make_loans(self, borrower: str, requests: Sequence[LoanRequest]) -> list[Loan]:
        now = self._clock.monotonic()
        n_nodes = max(1, len(self._nodes.live()))
        loans = []
        for req in requests:
            limit = self._limits.get(req.organisation)
            if limit is not None and self._is_home(req.organisation):
                loan = self._lender.lend(
                    req,
                    limit,
                    n_nodes=n_nodes,
                    now=now,
                    home_since=self._home_since.get(_group_of(req.organisation)),
                )
                loans.append(loan)
        return loans

    def _is_home(self, organisation: str) -> bool:
        order = self._ranking.ranked_nodes(_group_of(organisation), None)
        names = [member.node for member in order[:N_ELIGIBLE_HOMES]]
        return self._nodes.me.node in names

    async def _request_loans(
        self, home: Member, requests: Sequence[LoanRequest]
    ) -> None:
        asked = [
            _LoanRequestRow(
                req.organisation, req.n_tokens, req.n_places, req.n_places_used
            )
            for req in requests
        ]
        body = msgspec.json.encode(BorrowBody(sender=self._nodes.me.node, asked=asked))
        response = await self._client.request(
            home.peer,
            "POST",
            BORROW_PATH,
            body=body,
            headers=self._keys.headers("POST", BORROW_PATH, body),
            deadline=self._clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS,
        )
        if isinstance(response, Err) or response.ok_value.status != 200:
            # Without loans the borrower falls back to an even share after a while.
            return
        decoded = decode_json(response.ok_value.body, BorrowAnswer)
        if isinstance(decoded, Err):
            self._metrics.count("bad_input", peer="node", problem="borrow_answer")
            log_message("nodes:bad_input", peer=home.node, problem=decoded.err_value)
            return
        requested_names = {req.organisation for req in requests}
        self._receive(
            [
                Loan(
                    organisation=lent.organisation,
                    n_tokens=lent.n_tokens,
                    n_places=lent.n_places,
                )
                for lent in decoded.ok_value.lent
                if lent.organisation in requested_names
            ]
        )

    async def _on_borrow(self, req: Request, res: Responder, _: Params) -> None:
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return
        decoded = decode_json(req.body, BorrowBody)
        if isinstance(decoded, Err):
            self._metrics.count("bad_input", peer="node", problem="body")
            await send_error(
                res,
                400,
                "bad_body",
                place=f"body of {req.path}",
                message=decoded.err_value,
            )
            return
        body = decoded.ok_value
        requests = [
            LoanRequest(
                organisation=asked.organisation,
                borrower=body.sender,
                n_tokens=max(0, asked.n_tokens),
                n_places=max(0, asked.n_places),
                n_places_used=max(0, asked.n_places_used),
            )
            for asked in body.asked
        ]
        lent = [
            _LoanRow(loan.organisation, loan.n_tokens, loan.n_places)
            for loan in self._make_loans(body.sender, requests)
        ]
        await res.send_json(200, BorrowAnswer(lent=lent))


def _group_of(organisation: str) -> str:
    digest = hashlib.blake2b(organisation.encode(), digest_size=8).digest()
    return _group_name(int.from_bytes(digest, "big") % N_GROUPS)


def _group_name(number: int) -> str:
    return f"limit/{number}"
