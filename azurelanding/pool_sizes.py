"""Match the pools to their demand, with the hosts of a standby pool as the reserve."""


class PoolSizes:
    """What is remembered of the pools' demand."""

    def __init__(self):
        self.seen = {}

    def first_seen(self, what, now):
        """Return when ``what`` was first asked for."""
        return self.seen.setdefault(what, now)

    def is_due(self, daemon, now):
        """Tell whether the hosts are to be looked at for a move."""
        return False

    def plan_moves(self, daemon, hosts, now):
        """Return the ``HostPlan``s of moves that are due."""
        return []
