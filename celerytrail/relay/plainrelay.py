"""Connects what relays requests to plain endpoints."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..metrics import Metrics
from ..policies.endpointchoice import EndpointChoice
from ..policies.retrybudget import SharedRetryBudget
from .calls import PlainCalls
from .crashes.broker import CrashBroker
from .crashes.fates import ConnectionFates
from .crashes.watch import CrashWatch
from .endpointaccess import EndpointAccess
from .endpointstate import EndpointState
from .shutdown import Shutdown


class PlainRelay:
    """Creates what chooses plain endpoints and sends them requests.

    Parameters
    ----------
    failure_domain : str
        The failure domain of this node.
    endpoints : EndpointState
        What is known of the endpoints.
    access : EndpointAccess
        Reaches them.
    budget : SharedRetryBudget
        Bounds repeated requests.
    crashes : CrashBroker
        Told of crashes and answers.
    shutdown : Shutdown
        Which requests can end before this process is killed.
    announce_abort : callable
        Announces an endpoint that broke off an answer to the other nodes.
    rng : random.Random
        Breaks ties.
    metrics : Metrics
        Counts endpoints that were lost.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        endpoints: EndpointState,
        access: EndpointAccess,
        budget: SharedRetryBudget,
        crashes: CrashBroker,
        shutdown: Shutdown,
        announce_abort: Callable[[str], None],
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.choice = EndpointChoice(
            failure_domain=failure_domain,
            rng=rng,
            tell=announce_abort,
            is_connected=access.client.is_connected,
            speeds=endpoints.speeds,
            is_new=endpoints.paces.is_new,
        )
        watch = CrashWatch(
            fates=ConnectionFates(client=access.client, registry=endpoints.registry),
            on_lost=crashes.record_lost,
            on_crash=crashes.record_crash,
            metrics=metrics,
        )
        self.calls = PlainCalls(
            client=access.client,
            registry=endpoints.registry,
            choice=self.choice,
            budget=budget,
            gate=endpoints.gate,
            answers=endpoints.answers,
            paces=endpoints.paces,
            watch=watch,
            shutdown=shutdown,
            on_begun=crashes.record_begun,
            on_whole=crashes.record_whole,
        )
