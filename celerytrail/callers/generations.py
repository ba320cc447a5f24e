"""``/v1/generations/TICKET``: any node takes any generation up again, or ends it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from urllib.parse import parse_qs

from eliot import current_action
from result import Err, Ok, Result

from ..clock import Clock
from ..configuration.document import OrganisationSpec
from ..engines.streams import EngineStream
from ..engines.wire import UnknownGeneration
from ..exceptions import PeerError
from ..http.routes import Params, send_error
from ..http.server import Responder
from ..log import task_headers
from ..metrics import Metrics
from ..policies.grants import Admitter, Grant
from ..types import Address, Finding
from .answers import retry_header, send_findings, send_lost, send_unknown_generation
from .context import Context
from .delivery import Delivery, deliver_events, gather
from .endings import Endings, abandoner
from .leavers import Leavers
from .shapes import SHAPES, AnswerHead, EventWriter
from .starting import GenerationStarter
from .tickets import Ticket, TicketSigner, split_event_id

LAST_EVENT_HEADER = "last-event-id"
CANCEL_RETRY_SECONDS = 2.0
CANCEL_SECONDS = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ResumeRequest:
    """A checked request to take a stream up again.

    Parameters
    ----------
    ticket : Ticket
        Which stream.
    offset : int
        Tokens that the caller has already.
    is_streamed, does_include_usage : bool
        How to answer.
    """

    ticket: Ticket
    offset: int
    is_streamed: bool
    does_include_usage: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class NotYours:
    """The ticket is forged, of another organisation, or nonsense: all alike."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketExpired:
    """The ticket is the caller's own, but too old."""


ResumeError = NotYours | TicketExpired | Finding


class GenerationRoutes:
    """Resumes and cancels generations.

    Parameters
    ----------
    starter : GenerationStarter
        Opens streams.
    admitter : Admitter
        Told of progress and ends.
    endings, leavers : Endings, Leavers
        Take over what has ended, or lost its caller.
    tickets : TicketSigner
        Reads tickets.
    metrics : Metrics
        Counts what was refused.
    clock : Clock
        Of deadlines and of dates.
    ticket_seconds : float
        How long a ticket holds; one is renewed with each resume.
    """

    def __init__(
        self,
        *,
        starter: GenerationStarter,
        admitter: Admitter,
        endings: Endings,
        leavers: Leavers,
        tickets: TicketSigner,
        metrics: Metrics,
        clock: Clock,
        ticket_seconds: float,
    ) -> None:
        self._starter = starter
        self._admitter = admitter
        self._ends = endings
        self._leavers = leavers
        self._tickets = tickets
        self._metrics = metrics
        self._clock = clock
        self._ticket_seconds = ticket_seconds

    async def resume(self, ctx: Context, res: Responder, params: Params) -> None:
        """Answer with the rest of a generation."""
        read = self._read(ctx, params["ticket"])
        if isinstance(read, Err):
            await self._refuse(res, read.err_value, ctx)
            return
        req = read.ok_value
        stream = self._open(ctx, req.ticket, req.offset)
        res.lost.add_done_callback(abandoner(stream))
        first = await stream.next()
        grant = self._grant(req.ticket)
        if isinstance(first, Err):
            lost = first.err_value
            if lost.reason == "abandoned":
                self._leavers.note(stream, grant, can_return=True)
                return
            self._metrics.count("refusals", reason=lost.reason)
            event_id = f"{self._renew(req.ticket)}.{req.offset}"
            self._ends.note(stream, grant, lost)
            await send_lost(res, lost, event_id, ctx.headers)
            return
        self._metrics.count("resumes", cause="caller")
        delivery = Delivery(
            stream=stream,
            first=first.ok_value,
            ticket=self._renew(req.ticket),
            progress=partial(self._admitter.progress, grant),
        )
        try:
            if req.is_streamed:
                await self._stream(ctx, res, req, delivery, grant)
            else:
                await self._whole(ctx, res, req, delivery, grant)
        except PeerError:
            self._leavers.note(stream, grant, can_return=True)
            raise
        except BaseException:
            self._ends.give_up(stream, grant)
            raise

    async def cancel(self, ctx: Context, res: Responder, params: Params) -> None:
        """End a generation at once."""
        read = self._read_ticket(ctx.organisation, _without_offset(params["ticket"]))
        if isinstance(read, Err):
            await self._refuse(res, read.err_value, ctx)
            return
        ticket = read.ok_value
        done = await self._open(ctx, ticket, 0).cancel()
        if isinstance(done, Err) and not isinstance(done.err_value, UnknownGeneration):
            await send_error(
                res,
                503,
                "cancel_unknown",
                place="engine",
                message="the engine did not confirm the cancel; ask again",
                headers={**ctx.headers, **retry_header(CANCEL_RETRY_SECONDS)},
                retry_after=CANCEL_RETRY_SECONDS,
            )
            return
        self._admitter.finish(self._grant(ticket), 0, "cancelled")
        await res.send(204, b"", ctx.headers)

    async def _stream(
        self,
        ctx: Context,
        res: Responder,
        req: ResumeRequest,
        delivery: Delivery,
        grant: Grant,
    ) -> None:
        writer = EventWriter(
            shape=SHAPES[req.ticket.shape],
            head=self._head(req.ticket),
            ticket=delivery.ticket,
        )
        last = await deliver_events(
            delivery,
            res,
            writer,
            ctx.headers,
            is_new=False,
            does_include_usage=req.does_include_usage,
        )
        self._ends.note(delivery.stream, grant, last)

    async def _whole(
        self,
        ctx: Context,
        res: Responder,
        req: ResumeRequest,
        delivery: Delivery,
        grant: Grant,
    ) -> None:
        gathered = await gather(delivery)
        if isinstance(gathered, Ok):
            tokens, finished = gathered.ok_value
            self._ends.note(delivery.stream, grant, finished)
            shape = SHAPES[req.ticket.shape]
            answer = shape.whole(self._head(req.ticket), tokens, finished)
            await res.send_json(200, {**answer, "from": req.offset}, ctx.headers)
            return
        lost = gathered.err_value
        if lost.reason == "abandoned":
            raise PeerError("the caller left before the rest was there")
        self._ends.note(delivery.stream, grant, lost)
        # None of the rest has reached the caller: it goes on from where it was.
        event_id = f"{delivery.ticket}.{req.offset}"
        await send_lost(res, lost, event_id, ctx.headers)

    def _read(self, ctx: Context, path: str) -> Result[ResumeRequest, ResumeError]:
        ticket = self._read_ticket(ctx.organisation, _without_offset(path))
        if isinstance(ticket, Err):
            return ticket
        query = parse_qs(ctx.req.query, keep_blank_values=True)
        unknown = set(query) - {"from", "stream", "include_usage"}
        if unknown:
            return Err(Finding(place=min(unknown)[:100], problem="is no parameter"))
        offset = _read_offset(ctx, path, query)
        if isinstance(offset, Err):
            return Err(offset.err_value)
        flags = {}
        for name, default in (("stream", "true"), ("include_usage", "false")):
            text = query.get(name, [default])[-1]
            if text not in ("true", "false"):
                return Err(Finding(place=name, problem="should be true or false"))
            flags[name] = text == "true"
        return Ok(
            ResumeRequest(
                ticket=ticket.ok_value,
                offset=offset.ok_value,
                is_streamed=flags["stream"],
                does_include_usage=flags["include_usage"],
            )
        )

    def _read_ticket(
        self, organisation: OrganisationSpec, text: str
    ) -> Result[Ticket, ResumeError]:
        read = self._tickets.read(text)
        if isinstance(read, Err):
            problem = read.err_value
            if (
                problem.ticket is None
                or problem.ticket.organisation != organisation.name
            ):
                return Err(NotYours())
            return Err(TicketExpired())
        if read.ok_value.organisation != organisation.name:
            return Err(NotYours())
        return Ok(read.ok_value)

    async def _refuse(self, res: Responder, problem: ResumeError, ctx: Context) -> None:
        self._metrics.count("refusals", reason=type(problem).__name__)
        if isinstance(problem, Finding):
            await send_findings(res, [problem], ctx.headers)
        elif isinstance(problem, TicketExpired):
            await send_error(
                res,
                410,
                "ticket_expired",
                place="ticket",
                message="the ticket has expired; ask for a new generation",
                headers=ctx.headers,
            )
        else:
            await send_unknown_generation(res, ctx.headers)

    def _open(self, ctx: Context, ticket: Ticket, offset: int) -> EngineStream:
        action = current_action()
        return self._starter.open(
            address=Address.parse(ticket.address),
            generation_id=ticket.generation_id,
            incarnation=ticket.incarnation,
            offset=offset,
            deadline=ctx.deadline,
            headers=task_headers(action) if action is not None else {},
        )

    def _renew(self, ticket: Ticket) -> str:
        expires_at = self._clock.wall() + self._ticket_seconds
        return self._tickets.issue(replace(ticket, expires_at=expires_at))

    def _head(self, ticket: Ticket) -> AnswerHead:
        prefix = SHAPES[ticket.shape].answer_prefix
        return AnswerHead(
            answer_id=f"{prefix}{ticket.generation_id}",
            model=ticket.model,
            created=int(self._clock.wall()),
        )

    @staticmethod
    def _grant(ticket: Ticket) -> Grant:
        return Grant(grant_id=ticket.generation_id, engine=ticket.engine)


def _without_offset(path: str) -> str:
    split = split_event_id(path)
    return split.ok_value[0] if isinstance(split, Ok) else path


def _read_offset(
    ctx: Context, path: str, query: dict[str, list[str]]
) -> Result[int, Finding]:
    """Return where to go on: ``from``, else the header, else the path, else 0."""
    text = query.get("from", [None])[-1]
    if text is not None:
        if not text.isascii() or not text.isdigit() or len(text) > 9:
            return Err(Finding(place="from", problem="should be a count of tokens"))
        return Ok(int(text))
    last = ctx.req.headers.get(LAST_EVENT_HEADER)
    if last is not None:
        split = split_event_id(last)
        if isinstance(split, Err):
            problem = "should be the id of an event: TICKET.OFFSET"
            return Err(Finding(place=LAST_EVENT_HEADER, problem=problem))
        return Ok(split.ok_value[1])
    split = split_event_id(path)
    return Ok(split.ok_value[1] if isinstance(split, Ok) else 0)
