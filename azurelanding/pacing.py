"""Decide when a daemon exchanges its status with a peer daemon, and what it sends.

An exchange informs both sides. Without an urgent change, a daemon only sends
heartbeats. Their period grows with the number of peers, so that their cost per
daemon does not.
"""

import attrs

HEARTBEATS_PER_SILENCE = 3


def heartbeat(settings):
    """Return the seconds between two exchanges with a peer without urgent changes.

    ``settings`` are ``EntriesSettings``.
    """
    shortest = settings.silence / HEARTBEATS_PER_SILENCE
    return max(shortest, len(settings.fellows) / settings.rate)


def silence(settings):
    """Return the seconds without contact after which a peer is considered dead."""
    return HEARTBEATS_PER_SILENCE * heartbeat(settings)


def status_for(role, status):
    """Return ``status`` without the fields that a peer of ``role`` does not need.

    Entries share slots by each other's ``demands``, and control daemons size pools
    by the ``wants`` of services. A peer whose role is not known yet gets all fields.
    """
    if role == "entry":
        return attrs.evolve(status, wants={})
    if role == "control":
        return attrs.evolve(status, demands={}, releasing=())
    return status


def urgent_status_for(role, status):
    """Return the part of ``status`` whose changes a peer of ``role`` needs immediately.

    All roles need changes of the rules in force, of daemons that are stopping, and
    of draining hosts that are still busy. Entries also need ``demands`` and
    ``releasing``. A change of the offset or of ``wants`` can wait for the next
    exchange.
    """
    return attrs.evolve(status_for(role, status), next_offset=0, wants={})
