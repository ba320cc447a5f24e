"""Schedule by which a node repeats the list of its runs to the other nodes.

Hundreds of nodes each receive the lists of all others. With a fixed period the cost
for each node would grow with the number of nodes, and most of it would be for lists
without a run.
"""

from __future__ import annotations

# Minimum time between two lists of one node, in seconds.
MIN_LIST_PERIOD_SECONDS = 0.5
# Most lists per second that one node receives from all others together. With 64 they
# were two fifths of all datagrams, and each of these costs both ends system calls.
MAX_LISTS_PER_SECOND = 32.0
# Empty lists that a node sends after its last run ended. The datagram with the end may
# be lost, and so may the first empty list.
N_EMPTY_LISTS = 2
# Periods after which a run that its node no longer lists expires. Up to two of three
# lists may be lost.
EXPIRY_PERIODS = 3.2


class RunListSchedule:
    """Decides when a node sends the list of its runs.

    A node without runs sends none, so the cost depends on the runs in the fleet and not
    on the number of nodes. The more nodes have runs, the less often each repeats its
    list.
    """

    def __init__(self) -> None:
        self._n_empty_remaining = 0

    def period_seconds(self, n_active_nodes: int) -> float:
        """Return the seconds until the next list.

        Parameters
        ----------
        n_active_nodes : int
            Nodes that are known to have runs.
        """
        return max(MIN_LIST_PERIOD_SECONDS, n_active_nodes / MAX_LISTS_PER_SECOND)

    def count_if_due(self, n_runs: int) -> bool:
        """Return whether a list of ``n_runs`` runs is due, and count it as sent."""
        if n_runs:
            self._n_empty_remaining = N_EMPTY_LISTS
            return True
        if not self._n_empty_remaining:
            return False
        self._n_empty_remaining -= 1
        return True

    def on_run_announced(self) -> None:
        """Schedule empty lists after an announced run, as its end may be lost."""
        self._n_empty_remaining = N_EMPTY_LISTS


def expiry_seconds(period_seconds: float) -> float:
    """Return the seconds after which a run that is no longer listed expires."""
    return EXPIRY_PERIODS * max(MIN_LIST_PERIOD_SECONDS, period_seconds)
