"""The VMs of endpoints and nodes, from rows of the platform's store, which lag."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import Literal

from eliot import log_message
from result import Err, Ok, Result

from ..model import EndpointState
from ..rowsource import Row, RowSource, StoreUnavailable
from ..types import Address
from . import storewire
from .registrations import decode_registration


@dataclass(frozen=True, kw_only=True, slots=True)
class Vm:
    """A VM as described by its row.

    Parameters
    ----------
    vm : str
        The VM's name.
    state : {"live", "leaving"}
        Whether the VM is about to be removed.
    node : Address or None
        The peer address of an entry VM's node.
    """

    vm: str
    state: Literal["live", "leaving"]
    node: Address | None = None


class VmList(abc.ABC):
    """Lists VMs; ``deadline`` is monotonic, in seconds."""

    @abc.abstractmethod
    async def fetch(self, deadline: float) -> Result[tuple[Vm, ...], StoreUnavailable]:
        """Return the VMs that the platform lists; the list always lags."""


class StoreVmList(VmList):
    """Lists the VMs whose endpoint or node has written a row in the store.

    Parameters
    ----------
    rows : RowSource
        The store's tables.
    """

    def __init__(self, *, rows: RowSource) -> None:
        self._rows = rows

    async def fetch(self, deadline: float) -> Result[tuple[Vm, ...], StoreUnavailable]:
        """Return the VMs; rows that can't be decoded are skipped."""
        endpoints = await self._rows.read(storewire.REGISTRATION_TABLE, deadline)
        if isinstance(endpoints, Err):
            return Err(endpoints.err_value)
        nodes = await self._rows.read(storewire.NODES_TABLE, deadline)
        if isinstance(nodes, Err):
            return Err(nodes.err_value)
        vms = [
            *map(_endpoint_vm, endpoints.ok_value.rows),
            *map(_node_vm, nodes.ok_value.rows),
        ]
        return Ok(tuple(vm for vm in vms if vm is not None))


def _endpoint_vm(row: Row) -> Vm | None:
    decoded = decode_registration(row.key, row.value or b"")
    if isinstance(decoded, Err):
        log_message("vms:unreadable", row=row.key, problem=decoded.err_value)
        return None
    is_leaving = decoded.ok_value.state is EndpointState.LEAVING
    return Vm(vm=row.key, state="leaving" if is_leaving else "live")


def _node_vm(row: Row) -> Vm | None:
    address = node_address(row)
    if address is None:
        return None
    return Vm(vm=row.key, state="live", node=address)


def node_address(row: Row) -> Address | None:
    """Return the peer address in a node's row, or None if it is invalid."""
    try:
        return Address.parse((row.value or b"").decode("ascii"))
    except (ValueError, UnicodeDecodeError) as exc:
        log_message("nodes:row_unreadable", row=row.key, problem=str(exc))
        return None


def node_addresses(vms: tuple[Vm, ...]) -> list[Address]:
    """Return the peer addresses of the listed nodes."""
    return [vm.node for vm in vms if vm.node is not None]
