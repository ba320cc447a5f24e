"""Orders to engines: the difference between the document and what engines report.

For an engine that refuses old fencing numbers, an order of a former holder of the
lease has no effect. For one that ignores them the following holds: a holder looks at
its lease right before each send; orders expire with the lease; a new holder waits the
lease out and orders only after it has read a report from after that. What stays
possible: a holder that is paused between that look and the send, past the order's
expiry on an engine that does not look at it either, has one old order carried out. It
shows in the engine's next report, is logged as ``orders:overridden``, counted, and
ordered back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

from .document import Document, EngineSpec
from .reports import EngineReport

OrderKind = Literal["load_model", "load_adapter", "unload_adapter", "set_role"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Wanted:
    """One difference that an order would settle."""

    kind: OrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""

    @property
    def needs_weights(self) -> bool:
        """Return whether the engine will fetch from the weight store."""
        return self.kind in ("load_model", "load_adapter")


@dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """The body of ``POST /orders``.

    Parameters
    ----------
    order_id : str
        The same for each sending of one order, so that it is carried out once.
    fencing : int
        The lease's number.
    expires_at : float
        Wall time after which the engine should refuse it.
    """

    order_id: str
    kind: OrderKind
    model: str
    version: str
    adapter: str
    role: str
    fencing: int
    expires_at: float


def differences(
    document: Document, spec: EngineSpec, report: EngineReport
) -> tuple[Wanted, ...]:
    """Return what to order of one engine, in order; empty where all is as it should.

    An engine that is to drain is told so first, and one whose model changes is asked
    for its adapters only once it reports the new model, as loading drops the old
    model's adapters.
    """
    wanted: list[Wanted] = []
    if report.role != spec.role:
        wanted.append(Wanted(kind="set_role", role=spec.role))
    version = _version(document, spec.model)
    if version is None:
        return tuple(wanted)
    if (report.model, report.version) != (spec.model, version):
        wanted.append(Wanted(kind="load_model", model=spec.model, version=version))
        return tuple(wanted)
    for name in spec.adapters:
        if name not in report.adapters:
            wanted.append(
                Wanted(
                    kind="load_adapter",
                    model=spec.model,
                    version=_adapter_version(document, spec.model, name),
                    adapter=name,
                )
            )
    for name in report.adapters:
        if name not in spec.adapters:
            wanted.append(Wanted(kind="unload_adapter", model=spec.model, adapter=name))
    return tuple(wanted)


def all_differences(
    document: Document, reports: Mapping[str, EngineReport]
) -> dict[str, tuple[Wanted, ...]]:
    """Return what to order of each engine that reports and differs."""
    found = {}
    for spec in document.engines:
        report = reports.get(spec.name)
        if report is None:
            continue
        if wanted := differences(document, spec, report):
            found[spec.name] = wanted
    return found


def _version(document: Document, model: str) -> str | None:
    return next((m.version for m in document.models if m.name == model), None)


def _adapter_version(document: Document, model: str, name: str) -> str:
    return next(
        (
            adapter.version
            for adapter in document.adapters
            if adapter.model == model and adapter.name == name
        ),
        "",
    )
