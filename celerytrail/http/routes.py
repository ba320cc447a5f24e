"""Routes: which handler answers which method and path."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from .messages import Request
from .server import Handler, Responder

Params = dict[str, str]
RouteHandler = Callable[[Request, Responder, Params], Awaitable[None]]


class Router(Handler):
    """Finds the handler by method and path template, such as ``/v1/models/{name}``.

    A part in braces matches one path segment; ``{name+}`` as the last part matches
    all the rest.
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, list[str], RouteHandler]] = []

    def add(self, method: str, template: str, handler: RouteHandler) -> None:
        """Add a route."""
        self._routes.append((method, template.strip("/").split("/"), handler))

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer by the matching route, or with a typed 404 or 405."""
        segments = req.path.strip("/").split("/")
        methods = []
        for method, template, handler in self._routes:
            params = _match(template, segments)
            if params is None:
                continue
            if method == req.method:
                await handler(req, res, params)
                return
            methods.append(method)
        if methods:
            await send_error(
                res,
                405,
                "method_not_allowed",
                place="method",
                message=f"{req.path} takes {', '.join(methods)}",
                headers={"allow": ", ".join(methods)},
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
    **more: object,
) -> None:
    """Send the one shape that every error answer has."""
    error = {"type": kind, "place": place, "message": message, **more}
    await res.send_json(status, {"error": error}, headers)


def _match(template: list[str], segments: list[str]) -> Params | None:
    params: Params = {}
    for number, part in enumerate(template):
        if part.startswith("{") and part.endswith("+}"):
            params[part[1:-2]] = unquote("/".join(segments[number:]))
            return params if len(segments) > number else None
        if number >= len(segments):
            return None
        if part.startswith("{") and part.endswith("}"):
            params[part[1:-1]] = unquote(segments[number])
        elif part != segments[number]:
            return None
    return params if len(template) == len(segments) else None
