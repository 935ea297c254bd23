"""Carry out waves of maintenance and moves of hosts, one holder at a time."""


class FleetFold:
    """The hosts that are to be emptied."""

    def clear(self):
        """Forget everything."""

    def load_order(self, record):
        """Return where a record stands when the newest of each key are loaded."""
        return record.offset

    def apply_stored(self, record):
        """Apply one ``StoredRecord``."""

    def cordoned(self, pool):
        """Return the hosts of a pool that are to be emptied."""
        return frozenset()


class FleetDuty:
    """The duty for the fleet's hosts."""

    @classmethod
    def from_config(cls, daemon):
        """Return the duty of ``daemon``."""
        return cls()

    async def run(self):
        """Carry out what is due until cancelled."""
