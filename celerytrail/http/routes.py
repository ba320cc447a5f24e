"""Routing of requests to handlers by method and path."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from .messages import Request
from .server import Handler, Responder

Params = dict[str, str]
RouteHandler = Callable[[Request, Responder, Params], Awaitable[None]]


class Router(Handler):
    """Selects a handler by method and path template, such as ``/v1/models/{name}``.

    A part in braces matches one path segment; ``{name+}`` as the last part matches
    all remaining segments.
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, list[str], RouteHandler]] = []

    def add(self, method: str, template: str, handler: RouteHandler) -> None:
        """Add a route."""
        self._routes.append((method, template.strip("/").split("/"), handler))

    async def handle(self, req: Request, res: Responder) -> None:
        """Call the handler of the matching route, or answer with 404 or 405."""
        segments = req.path.strip("/").split("/")
        allowed_methods = []
        for method, template, handler in self._routes:
            params = _match(template, segments)
            if params is None:
                continue
            if method == req.method:
                await handler(req, res, params)
                return
            allowed_methods.append(method)
        if allowed_methods:
            await send_error(
                res,
                405,
                "method_not_allowed",
                place="method",
                message=f"{req.path} takes {', '.join(allowed_methods)}",
                headers={"allow": ", ".join(allowed_methods)},
            )
            return
        await send_error(
            res, 404, "no_such_route", place="path", message=f"nothing at {req.path}"
        )


async def send_error(
    res: Responder,
    status: int,
    kind: str,
    *,
    place: str,
    message: str,
    headers: dict[str, str] | None = None,
    **details: object,
) -> None:
    """Send an error answer in the common format."""
    error = {"type": kind, "place": place, "message": message, **details}
    await res.send_json(status, {"error": error}, headers)


def _match(template: list[str], segments: list[str]) -> Params | None:
    params: Params = {}
    for index, part in enumerate(template):
        if part.startswith("{") and part.endswith("+}"):
            params[part[1:-2]] = unquote("/".join(segments[index:]))
            return params if len(segments) > index else None
        if index >= len(segments):
            return None
        if part.startswith("{") and part.endswith("}"):
            params[part[1:-1]] = unquote(segments[index])
        elif part != segments[index]:
            return None
    return params if len(template) == len(segments) else None
