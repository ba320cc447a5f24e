"""The platform's list of VMs: its interface and its client. It lags."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import Literal

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..types import Address
from .client import Exchanger, Unavailable


@dataclass(frozen=True, kw_only=True, slots=True)
class Vm:
    """A VM as the platform lists it.

    Parameters
    ----------
    vm : str
        Its name.
    state : {"live", "leaving"}
        Whether the platform is about to take it away.
    failure_domain, region : str
        Where it is.
    address : str or None
        ``IP:PORT`` at which the node of an entry VM talks to other nodes.
    """

    vm: str
    state: Literal["live", "leaving"]
    failure_domain: str = ""
    region: str = ""
    address: str | None = None


class VmList(abc.ABC):
    """Lists VMs; ``deadline`` is monotonic, in seconds."""

    @abc.abstractmethod
    async def fetch(self, deadline: float) -> Result[tuple[Vm, ...], Unavailable]:
        """Return the VMs as far as the platform knows; always some time old."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _VmsAnswer:
    vms: tuple[msgspec.Raw, ...]


class HttpVmList(VmList):
    """The VM list over HTTP."""

    def __init__(self, *, exchanger: Exchanger) -> None:
        self._exchanger = exchanger

    async def fetch(self, deadline: float) -> Result[tuple[Vm, ...], Unavailable]:
        """Return the VMs; an entry that can't be read is dropped, the rest kept."""
        made = await self._exchanger.fetch("vms", "GET", "/vms", deadline=deadline)
        if isinstance(made, Err):
            return Err(made.err_value)
        try:
            raws = msgspec.json.decode(made.ok_value.body, type=_VmsAnswer).vms
        except msgspec.MsgspecError as exc:
            self._exchanger.note_bad_answer("vms", str(exc))
            return Err(Unavailable(reason="bad_answer", detail=str(exc)))
        vms = []
        for raw in raws:
            try:
                vms.append(msgspec.json.decode(raw, type=Vm))
            except msgspec.MsgspecError as exc:
                self._exchanger.note_bad_answer("vms", str(exc))
        return Ok(tuple(vms))


def node_addresses(vms: tuple[Vm, ...]) -> list[Address]:
    """Return the peer addresses that are listed; one that is wrong is left out."""
    addresses = []
    for vm in vms:
        if vm.address is None:
            continue
        try:
            addresses.append(Address.parse(vm.address))
        except ValueError as exc:
            log_message("vms:bad_address", vm=vm.vm, problem=str(exc))
    return addresses
