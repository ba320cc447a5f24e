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

from dataclasses import dataclass
from typing import Literal

from ..configuration.document import Document, EngineSpec
from ..policies.reports import EngineReport

# The most engines of one model, as a share, that drain at one time for a change.
ROLLING_SHARE = 0.25

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


@dataclass(frozen=True, kw_only=True, slots=True)
class Comparison:
    """What an engine's report says against the document.

    Parameters
    ----------
    wanted : tuple of Wanted
        What to order now, in order.
    is_waiting : bool
        Whether something is left to order once the engine's work has ended.
    """

    wanted: tuple[Wanted, ...] = ()
    is_waiting: bool = False

    @property
    def is_settled(self) -> bool:
        """Return whether the engine is as it should be."""
        return not self.wanted and not self.is_waiting


def compare(document: Document, spec: EngineSpec, report: EngineReport) -> Comparison:
    """Return what to order of one engine.

    Loading another model and unloading an adapter could cut what the engine is
    generating, so it is told to drain first, waited for however long that takes, and
    told to serve again at the end. Adapters are asked for only once the engine
    reports their model, as loading a model drops the old one's adapters.
    """
    if spec.role == "drain" and report.role != "drain":
        return Comparison(wanted=(_set_role("drain"),))
    disruptive = _disruptive(document, spec, report)
    if disruptive and report.model:
        # An engine that merely looks idle may be given work before the order comes;
        # one that reports that it drains and has none left stays without.
        if report.role != "drain":
            return Comparison(wanted=(_set_role("drain"),))
        if report.n_running + report.n_waiting > 0:
            return Comparison(is_waiting=True)
    wanted = [*disruptive, *_missing_adapters(document, spec, report)]
    if not wanted and report.role != spec.role:
        wanted.append(_set_role(spec.role))
    return Comparison(wanted=tuple(wanted))


def is_rolling(spec: EngineSpec, report: EngineReport) -> bool:
    """Return whether an engine drains only for a change, to serve again after it."""
    return spec.role == "serve" and report.role == "drain"


def may_begin_roll(*, n_rolling: int, n_serving: int, n_engines: int) -> bool:
    """Return whether one more engine of a model may drain for a change.

    Were all told to drain at once, nobody would be left to take new generations
    until the longest of the running ones has ended.

    Parameters
    ----------
    n_rolling : int
        Engines of the model that drain for a change.
    n_serving : int
        Engines of the model that report and serve, the one in question included.
    n_engines : int
        Engines of the model in the document.
    """
    if n_engines > 1 and n_serving < 2:
        return False
    return n_rolling < max(1, int(n_engines * ROLLING_SHARE))


def _disruptive(
    document: Document, spec: EngineSpec, report: EngineReport
) -> list[Wanted]:
    version = _version(document, spec.model)
    if version is None:
        return []
    if (report.model, report.version) != (spec.model, version):
        return [Wanted(kind="load_model", model=spec.model, version=version)]
    return [
        Wanted(kind="unload_adapter", model=spec.model, adapter=name)
        for name in report.adapters
        if name not in spec.adapters
    ]


def _missing_adapters(
    document: Document, spec: EngineSpec, report: EngineReport
) -> list[Wanted]:
    if (report.model, report.version) != (spec.model, _version(document, spec.model)):
        return []
    return [
        Wanted(
            kind="load_adapter",
            model=spec.model,
            version=_adapter_version(document, spec.model, name),
            adapter=name,
        )
        for name in spec.adapters
        if name not in report.adapters
    ]


def _set_role(role: str) -> Wanted:
    return Wanted(kind="set_role", role=role)


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
