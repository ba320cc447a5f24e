"""Orders to engines: the difference between the document and what engines report.

On an engine that refuses old fencing numbers, an order of a former lease holder has
no effect. For an engine that ignores them, these rules apply: a holder checks its
lease right before each send; orders expire with the lease; a new holder waits until
the lease has expired and orders only by a report made after that. One case remains: a
holder that is paused between the check and the send until after the order's expiry,
on an engine that does not check the expiry either, has one old order carried out. The
engine's next report shows it; it is logged as ``orders:overridden``, counted, and
reverted by a new order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from ..configuration.document import Document, EngineSpec
from ..policies.loadreports import EngineReport

# The largest share of a model's engines that may drain for a change at one time.
ROLLING_SHARE = 0.25

OrderKind = Literal["load_model", "load_adapter", "unload_adapter", "set_role"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One change that an order makes on an engine."""

    kind: OrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""

    @property
    def needs_weights(self) -> bool:
        """Return whether the change makes the engine read from the weight store."""
        return self.kind in ("load_model", "load_adapter")


@dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """The body of ``POST /orders``.

    Parameters
    ----------
    order_id : str
        Stays the same when an order is sent again, so that it is carried out once.
    fencing : int
        The lease's fencing number.
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
    """How an engine's report differs from the document.

    Parameters
    ----------
    changes : tuple of Change
        The changes that may be ordered now, first to last.
    is_waiting : bool
        Whether more changes follow once the engine has finished its work.
    """

    changes: tuple[Change, ...] = ()
    is_waiting: bool = False

    @property
    def is_settled(self) -> bool:
        """Return whether the engine is in the documented state."""
        return not self.changes and not self.is_waiting


def compare(document: Document, spec: EngineSpec, report: EngineReport) -> Comparison:
    """Return the changes to order of one engine.

    Loading another model or unloading an adapter could cut off running generations.
    The engine is therefore drained first, for as long as that takes, and set to serve
    again at the end. Adapters are ordered only once the engine reports their model,
    as loading a model drops the adapters of the former one.
    """
    if spec.role == "drain" and report.role != "drain":
        return Comparison(changes=(_set_role("drain"),))
    disruptive = _disruptive_changes(document, spec, report)
    if disruptive and report.model:
        # A serving engine that is idle may receive work before the order arrives; a
        # drained one stays idle.
        if report.role != "drain":
            return Comparison(changes=(_set_role("drain"),))
        if report.n_running + report.n_waiting > 0:
            return Comparison(is_waiting=True)
    changes = [*disruptive, *_missing_adapters(document, spec, report)]
    if not changes and report.role != spec.role:
        changes.append(_set_role(spec.role))
    return Comparison(changes=tuple(changes))


def is_rolling(spec: EngineSpec, report: EngineReport) -> bool:
    """Return whether an engine drains for a change and is to serve again after it."""
    return spec.role == "serve" and report.role == "drain"


def may_begin_roll(*, n_rolling: int, n_serving: int, n_engines: int) -> bool:
    """Return whether one more engine of a model may drain for a change.

    If all engines drained at once, none could take new generations until the longest
    running one has ended.

    Parameters
    ----------
    n_rolling : int
        Engines of the model that drain for a change.
    n_serving : int
        Engines of the model that report that they serve, including the engine in
        question.
    n_engines : int
        Engines of the model in the document.
    """
    if n_engines > 1 and n_serving < 2:
        return False
    return n_rolling < max(1, int(n_engines * ROLLING_SHARE))


def _disruptive_changes(
    document: Document, spec: EngineSpec, report: EngineReport
) -> list[Change]:
    version = _model_version(document, spec.model)
    if version is None:
        return []
    if (report.model, report.version) != (spec.model, version):
        return [Change(kind="load_model", model=spec.model, version=version)]
    return [
        Change(kind="unload_adapter", model=spec.model, adapter=name)
        for name in report.adapters
        if name not in spec.adapters
    ]


def _missing_adapters(
    document: Document, spec: EngineSpec, report: EngineReport
) -> list[Change]:
    if (report.model, report.version) != (
        spec.model,
        _model_version(document, spec.model),
    ):
        return []
    return [
        Change(
            kind="load_adapter",
            model=spec.model,
            version=_adapter_version(document, spec.model, name),
            adapter=name,
        )
        for name in spec.adapters
        if name not in report.adapters
    ]


def _set_role(role: str) -> Change:
    return Change(kind="set_role", role=role)


def _model_version(document: Document, model: str) -> str | None:
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
