"""Decide how often two fellow daemons exchange their status, and what is news.

An exchange tells both sides. A daemon that has no news keeps to the heartbeat,
whose period grows with the number of fellows, so that its cost does not.
"""

import attrs

HEARTBEATS_PER_SILENCE = 3


def heartbeat(settings):
    """Return the seconds between two exchanges with a fellow when there is no news.

    ``settings`` are ``EntriesSettings``.
    """
    shortest = settings.silence / HEARTBEATS_PER_SILENCE
    return max(shortest, len(settings.fellows) / settings.rate)


def silence(settings):
    """Return the seconds after which a fellow not heard of counts as gone."""
    return HEARTBEATS_PER_SILENCE * heartbeat(settings)


def status_for(role, status):
    """Return what of ``status`` a fellow of ``role`` needs.

    Entries share slots by each other's demands, and controls size pools by what
    the services want; a fellow whose role is not known yet gets all.
    """
    if role == "entry":
        return attrs.evolve(status, wants={})
    if role == "control":
        return attrs.evolve(status, demands={}, releasing=())
    return status


def urgent_status_for(role, status):
    """Return what of ``status`` a fellow of ``role`` is told at once on a change.

    All follow the rules in force, who stops, and what is still busy on draining
    hosts. The offset and the wants travel with the next exchange.
    """
    return attrs.evolve(status_for(role, status), next_offset=0, wants={})
