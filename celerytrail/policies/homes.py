"""Regions in which a request may be handled.

The operator may bind a route, an organisation or both to home regions. A request then
reaches endpoints of these regions only, also when it is repeated, moved or copied, and
callers are sent to nodes of their own region.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from ..model import OrganisationKey, Route

T = TypeVar("T")


def allowed_regions(route: Route, holder: OrganisationKey | None) -> frozenset[str]:
    """Return the home regions of a request; empty if it is bound to none.

    Where both the route and the organisation have homes, both bind. If they have none
    in common, the result names no region that exists.
    """
    organisation = holder.home_regions if holder is not None else frozenset()
    if not route.home_regions or not organisation:
        return route.home_regions or organisation
    return route.home_regions & organisation or frozenset({NO_REGION})


# Stands for the homes of a request that has no common home.
NO_REGION = ""


def is_allowed(
    failure_domain: str, homes: frozenset[str], domain_regions: Mapping[str, str]
) -> bool:
    """Return whether an endpoint's failure domain lies in a home region.

    A domain whose region is unknown lies in none.
    """
    if not homes:
        return True
    region = domain_regions.get(failure_domain)
    return bool(region) and region in homes


def in_region(
    items: Sequence[T], region: str, region_of: Callable[[T], str]
) -> list[T]:
    """Return the items of a region, or all if it has none."""
    return [item for item in items if region_of(item) == region] or list(items)
