"""``/v1/generations/TICKET``: resumes or cancels a generation, at any node."""

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
from .cleanup import GenerationCleanup, abandon_on_disconnect
from .context import Context
from .delivery import Delivery, collect_tokens, deliver_events
from .disconnects import DisconnectHandler
from .shapes import SHAPES, AnswerMetadata, EventWriter
from .starting import GenerationStarter
from .tickets import Ticket, TicketSigner, split_event_id

LAST_EVENT_HEADER = "last-event-id"
CANCEL_RETRY_SECONDS = 2.0
CANCEL_SECONDS = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ResumeRequest:
    """A validated request to resume a stream.

    Parameters
    ----------
    ticket : Ticket
        Names the stream.
    offset : int
        Number of tokens that the caller already has.
    is_streamed, does_include_usage : bool
        Whether the answer is streamed, and whether it ends with the token usage.
    """

    ticket: Ticket
    offset: int
    is_streamed: bool
    does_include_usage: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class NotYours:
    """The ticket is forged, malformed or another organisation's."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketExpired:
    """The ticket belongs to the caller's organisation but has expired."""


ResumeError = NotYours | TicketExpired | Finding


class GenerationRoutes:
    """Resumes and cancels generations.

    Parameters
    ----------
    starter : GenerationStarter
        Opens streams.
    admitter : Admitter
        Gets the progress and the end of each generation.
    cleanup : GenerationCleanup
        Releases what ended generations hold.
    disconnects : DisconnectHandler
        Cancels generations whose callers have disconnected.
    tickets : TicketSigner
        Verifies and renews tickets.
    metrics : Metrics
        Counts refusals and resumes.
    clock : Clock
        Source of wall time.
    ticket_seconds : float
        How long a ticket is valid, in seconds; each resume renews it.
    """

    def __init__(
        self,
        *,
        starter: GenerationStarter,
        admitter: Admitter,
        cleanup: GenerationCleanup,
        disconnects: DisconnectHandler,
        tickets: TicketSigner,
        metrics: Metrics,
        clock: Clock,
        ticket_seconds: float,
    ) -> None:
        self._starter = starter
        self._admitter = admitter
        self._cleanup = cleanup
        self._disconnects = disconnects
        self._tickets = tickets
        self._metrics = metrics
        self._clock = clock
        self._ticket_seconds = ticket_seconds

    async def resume(self, ctx: Context, res: Responder, params: Params) -> None:
        """Send the rest of a generation, from the caller's offset on."""
        parsed = self._parse_resume_request(ctx, params["ticket"])
        if isinstance(parsed, Err):
            await self._refuse(res, parsed.err_value, ctx)
            return
        req = parsed.ok_value
        stream = self._open_stream(ctx, req.ticket, req.offset)
        res.lost.add_done_callback(abandon_on_disconnect(stream))
        first = await stream.next()
        grant = self._grant_of(req.ticket)
        if isinstance(first, Err):
            lost = first.err_value
            if lost.reason == "abandoned":
                self._disconnects.handle(stream, grant, can_return=True)
                return
            self._metrics.count("refusals", reason=lost.reason)
            event_id = f"{self._renew_ticket(req.ticket)}.{req.offset}"
            self._cleanup.on_end(stream, grant, lost)
            await send_lost(res, lost, event_id, ctx.headers)
            return
        self._metrics.count("resumes", cause="caller")
        delivery = Delivery(
            stream=stream,
            first=first.ok_value,
            ticket=self._renew_ticket(req.ticket),
            on_progress=partial(self._admitter.progress, grant),
        )
        try:
            if req.is_streamed:
                await self._send_stream(ctx, res, req, delivery, grant)
            else:
                await self._send_whole(ctx, res, req, delivery, grant)
        except PeerError:
            self._disconnects.handle(stream, grant, can_return=True)
            raise
        except BaseException:
            self._cleanup.abandon(stream, grant)
            raise

    async def cancel(self, ctx: Context, res: Responder, params: Params) -> None:
        """Cancel a generation at its engine."""
        verified = self._verify_ticket(
            ctx.organisation, _strip_offset(params["ticket"])
        )
        if isinstance(verified, Err):
            await self._refuse(res, verified.err_value, ctx)
            return
        ticket = verified.ok_value
        result = await self._open_stream(ctx, ticket, 0).cancel()
        if isinstance(result, Err) and not isinstance(
            result.err_value, UnknownGeneration
        ):
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
        self._admitter.finish(self._grant_of(ticket), 0, "cancelled")
        await res.send(204, b"", ctx.headers)

    async def _send_stream(
        self,
        ctx: Context,
        res: Responder,
        req: ResumeRequest,
        delivery: Delivery,
        grant: Grant,
    ) -> None:
        writer = EventWriter(
            shape=SHAPES[req.ticket.shape],
            head=self._answer_head(req.ticket),
            ticket=delivery.ticket,
        )
        outcome = await deliver_events(
            delivery,
            res,
            writer,
            ctx.headers,
            is_new=False,
            does_include_usage=req.does_include_usage,
        )
        self._cleanup.on_end(delivery.stream, grant, outcome)

    async def _send_whole(
        self,
        ctx: Context,
        res: Responder,
        req: ResumeRequest,
        delivery: Delivery,
        grant: Grant,
    ) -> None:
        collected = await collect_tokens(delivery)
        if isinstance(collected, Ok):
            tokens, finished = collected.ok_value
            self._cleanup.on_end(delivery.stream, grant, finished)
            shape = SHAPES[req.ticket.shape]
            answer = shape.response(self._answer_head(req.ticket), tokens, finished)
            await res.send_json(200, {**answer, "from": req.offset}, ctx.headers)
            return
        lost = collected.err_value
        if lost.reason == "abandoned":
            raise PeerError("the caller disconnected before the answer was complete")
        self._cleanup.on_end(delivery.stream, grant, lost)
        # The caller has received none of these tokens, so its offset is unchanged.
        event_id = f"{delivery.ticket}.{req.offset}"
        await send_lost(res, lost, event_id, ctx.headers)

    def _parse_resume_request(
        self, ctx: Context, path: str
    ) -> Result[ResumeRequest, ResumeError]:
        """Validate a request to resume a stream."""
        ticket = self._verify_ticket(ctx.organisation, _strip_offset(path))
        if isinstance(ticket, Err):
            return ticket
        query = parse_qs(ctx.req.query, keep_blank_values=True)
        unknown = set(query) - {"from", "stream", "include_usage"}
        if unknown:
            return Err(Finding(place=min(unknown)[:100], problem="is no parameter"))
        offset = _parse_offset(ctx, path, query)
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

    def _verify_ticket(
        self, organisation: OrganisationSpec, text: str
    ) -> Result[Ticket, ResumeError]:
        """Verify a ticket and that it belongs to the organisation."""
        verified = self._tickets.read(text)
        if isinstance(verified, Err):
            problem = verified.err_value
            if (
                problem.ticket is None
                or problem.ticket.organisation != organisation.name
            ):
                return Err(NotYours())
            return Err(TicketExpired())
        if verified.ok_value.organisation != organisation.name:
            return Err(NotYours())
        return Ok(verified.ok_value)

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

    def _open_stream(self, ctx: Context, ticket: Ticket, offset: int) -> EngineStream:
        action = current_action()
        return self._starter.open(
            address=Address.parse(ticket.address),
            generation_id=ticket.generation_id,
            incarnation=ticket.incarnation,
            offset=offset,
            deadline=ctx.deadline,
            headers=task_headers(action) if action is not None else {},
        )

    def _renew_ticket(self, ticket: Ticket) -> str:
        expires_at = self._clock.wall() + self._ticket_seconds
        return self._tickets.issue(replace(ticket, expires_at=expires_at))

    def _answer_head(self, ticket: Ticket) -> AnswerMetadata:
        prefix = SHAPES[ticket.shape].answer_prefix
        return AnswerMetadata(
            answer_id=f"{prefix}{ticket.generation_id}",
            model=ticket.model,
            created=int(self._clock.wall()),
        )

    @staticmethod
    def _grant_of(ticket: Ticket) -> Grant:
        return Grant(grant_id=ticket.generation_id, engine=ticket.engine)


def _strip_offset(path: str) -> str:
    split = split_event_id(path)
    return split.ok_value[0] if isinstance(split, Ok) else path


def _parse_offset(
    ctx: Context, path: str, query: dict[str, list[str]]
) -> Result[int, Finding]:
    """Return the offset from ``from``, else from the header, the path, or 0."""
    text = query.get("from", [None])[-1]
    if text is not None:
        if not text.isascii() or not text.isdigit() or len(text) > 9:
            return Err(Finding(place="from", problem="should be a count of tokens"))
        return Ok(int(text))
    last_event_id = ctx.req.headers.get(LAST_EVENT_HEADER)
    if last_event_id is not None:
        split = split_event_id(last_event_id)
        if isinstance(split, Err):
            problem = "should be the id of an event: TICKET.OFFSET"
            return Err(Finding(place=LAST_EVENT_HEADER, problem=problem))
        return Ok(split.ok_value[1])
    split = split_event_id(path)
    return Ok(split.ok_value[1] if isinstance(split, Ok) else 0)
