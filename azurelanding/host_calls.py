"""Name the faults of orders to the fleet's hosts."""


class HostCallError(Exception):
    """The platform did not answer; the order may have been carried out."""


class HostBusyError(HostCallError):
    """The host can't take the order now: it is not up, or not of that wave."""


class HostFencedError(HostCallError):
    """A later holder has given orders for this host."""
