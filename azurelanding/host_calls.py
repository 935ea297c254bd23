"""Define the errors of orders to the fleet's hosts."""


class HostCallError(Exception):
    """The platform did not answer; the order may have been carried out."""


class HostBusyError(HostCallError):
    """The host refuses the order at present: it is not up, or not in that wave."""


class HostFencedError(HostCallError):
    """A later fleet controller has already ordered this host."""
