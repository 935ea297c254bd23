"""Share one service's queue among its teams by weight.

This is start-time fair queuing: each team has a virtual time that advances by
``cost / share`` with each of its requests, and the team that is furthest behind
goes next. The cost is the run time that the team's requests had of late. A team
that comes back after a pause starts at the queue's virtual time, so that it can't
claim what it did not use.
"""

import collections
import heapq

import attrs

from azurelanding.estimates import RunTime

STALE_ENTRIES = 64
MIN_COST_SECONDS = 1e-4


@attrs.define(eq=False)
class TeamQueue:
    """The waiting requests of one team, oldest first.

    ``entry`` counts how often the team was put on the heap; older entries of it
    are stale.
    """

    name: str
    share: float
    tickets: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    virtual_time: float = 0.0
    run_time: RunTime = attrs.field(factory=RunTime)
    entry: int = 0


class FairQueue:
    """The waiting requests of one service; every operation is O(log teams).

    >>> queue = FairQueue()
    >>> queue.push("a", "guild", share=3.0)
    >>> queue.pop(default_cost=1.0)
    'a'
    """

    def __init__(self):
        self.teams = {}
        self.heap = []
        self.virtual_time = 0.0
        self.size = 0
        self.active_share = 0.0

    def __len__(self):
        return self.size

    def waiting_of(self, team_name):
        """Return how many requests of a team wait."""
        team = self.teams.get(team_name)
        return len(team.tickets) if team else 0

    def share_of(self, team_name, share):
        """Return the team's fraction of the queue while the present teams wait."""
        if self.waiting_of(team_name):
            return share / self.active_share
        return share / (self.active_share + share)

    def _schedule(self, team):
        team.entry += 1
        heapq.heappush(self.heap, (team.virtual_time, team.name, team.entry))

    def _activate(self, team, share):
        team.share = share
        team.virtual_time = max(team.virtual_time, self.virtual_time)
        self.active_share += share
        self._schedule(team)
        if len(self.heap) > 2 * len(self.teams) + STALE_ENTRIES:
            self.heap = [entry for entry in self.heap if self._is_current(entry)]
            heapq.heapify(self.heap)

    def _deactivate(self, team):
        team.entry += 1
        self.active_share = max(0.0, self.active_share - team.share)
        if not self.size:
            self.active_share = 0.0

    def _is_current(self, entry):
        _, name, number = entry
        team = self.teams.get(name)
        return team is not None and team.entry == number

    def push(self, ticket, team_name, share, front=False):
        """Add ``ticket`` at the end of its team's queue, or at its ``front``."""
        team = self.teams.get(team_name)
        if team is None:
            team = self.teams[team_name] = TeamQueue(team_name, share)
        if not team.tickets:
            self._activate(team, share)
        team.tickets[ticket] = None
        self.size += 1
        if front:
            team.tickets.move_to_end(ticket, last=False)

    def remove(self, ticket, team_name):
        """Take ``ticket`` out; return whether it was there."""
        team = self.teams.get(team_name)
        if team is None or ticket not in team.tickets:
            return False
        del team.tickets[ticket]
        self.size -= 1
        if not team.tickets:
            self._deactivate(team)
        return True

    def _next_team(self):
        while not self._is_current(self.heap[0]):
            heapq.heappop(self.heap)
        return self.teams[self.heap[0][1]]

    def note_run_time(self, team_name, seconds):
        """Take a run time into account in what the team is charged next."""
        if team_name in self.teams:
            self.teams[team_name].run_time.observe(seconds)

    def pop(self, default_cost):
        """Return the next ticket and charge its team.

        A team without observed run times is charged ``default_cost``. Raises
        ``IndexError`` when nothing waits.
        """
        team = self._next_team()
        heapq.heappop(self.heap)
        ticket, _ = team.tickets.popitem(last=False)
        self.size -= 1
        self.virtual_time = team.virtual_time
        cost = default_cost if team.run_time.mean is None else team.run_time.mean
        team.virtual_time += max(cost, MIN_COST_SECONDS) / team.share
        if team.tickets:
            self._schedule(team)
        else:
            self._deactivate(team)
        return ticket

    def forget_idle(self):
        """Drop the teams that have caught up and have nothing waiting."""
        for name, team in list(self.teams.items()):
            if not team.tickets and team.virtual_time <= self.virtual_time:
                del self.teams[name]
