"""An admitter that decides by the node's own knowledge only."""

from __future__ import annotations

import secrets
from collections import Counter

from result import Err, Ok, Result

from ..configuration.current import Configuration
from ..types import NotRun
from .grants import AdmitRequest, Admitter, GenerationEnd, Grant

NO_ENGINE_RETRY_SECONDS = 2.0


class LocalAdmitter(Admitter):
    """Grants, at once, the engine that runs the fewest of this node's generations.

    It is a baseline, and a fallback that depends on no other node.

    Parameters
    ----------
    configuration : Configuration
        Provides the engines.
    """

    def __init__(self, *, configuration: Configuration) -> None:
        self._configuration = configuration
        self._n_outstanding: Counter[str] = Counter()
        self._grants: dict[str, str] = {}

    async def admit(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        """Grant the least loaded engine that serves the model, or refuse at once."""
        document = self._configuration.current.document
        names = [
            engine.name
            for engine in document.engines
            if engine.model == req.model
            and engine.role == "serve"
            and engine.name not in req.excluded
            and (not req.adapter or req.adapter in engine.adapters)
        ]
        if not names:
            detail = f"no engine serves {req.model} just now"
            return Err(
                NotRun(
                    reason="no_engine",
                    detail=detail,
                    retry_after=NO_ENGINE_RETRY_SECONDS,
                )
            )
        name = min(names, key=lambda n: self._n_outstanding[n])
        grant = Grant(grant_id=secrets.token_hex(12), engine=name)
        self._n_outstanding[name] += 1
        self._grants[grant.grant_id] = name
        return Ok(grant)

    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Do nothing, as only the number of generations counts."""

    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Remove the generation from its engine's count, once."""
        name = self._grants.pop(grant.grant_id, None)
        if name is not None:
            self._n_outstanding[name] -= 1
