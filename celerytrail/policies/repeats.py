"""How often a node repeats the list of its runs to the other nodes.

The load that this answers: hundreds of nodes, each of which hears every other one. A
node that repeated its list at a fixed period would cost all others in proportion to
their number, most of it for lists without a run.
"""

from __future__ import annotations

# The shortest time between two lists of one node, in seconds.
SHORTEST_SECONDS = 0.5
# Lists that one node takes in a second at most, from all others together.
LISTS_PER_SECOND = 64.0
# Lists without a run that a node sends after its last run ended. The news of the end
# may be lost; so may the first of these.
N_EMPTY_LISTS = 2
# After how many periods a run that its node did not name again is forgotten: one or two
# of three lists may be lost.
N_MISSED_PERIODS = 3.2


class Repeats:
    """When a node repeats its list, and when it has nothing to say.

    A node without runs is silent, so that the cost of news follows from the runs in the
    fleet and not from the number of nodes. Where many nodes have runs, each repeats its
    list less often.
    """

    def __init__(self) -> None:
        self._n_empty_left = 0

    def period_seconds(self, n_speaking: int) -> float:
        """Return the seconds until the next list.

        Parameters
        ----------
        n_speaking : int
            Nodes that have runs, as far as is known.
        """
        return max(SHORTEST_SECONDS, n_speaking / LISTS_PER_SECOND)

    def take(self, n_runs: int) -> bool:
        """Return whether a list of so many runs is due, and count it as sent."""
        if n_runs:
            self._n_empty_left = N_EMPTY_LISTS
            return True
        if not self._n_empty_left:
            return False
        self._n_empty_left -= 1
        return True

    def note_run(self) -> None:
        """Note that a run was told of, whose end may be lost."""
        self._n_empty_left = N_EMPTY_LISTS


def forget_seconds(period_seconds: float) -> float:
    """Return how long a run stands that its node doesn't name again, in seconds."""
    return N_MISSED_PERIODS * max(SHORTEST_SECONDS, period_seconds)
