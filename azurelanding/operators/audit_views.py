"""Describe the subject of a change, before and after the change."""

from azurelanding import records


def _describe_host(state, name):
    host = state.hosts.get(name)
    return f"pool {host.pool}, {host.phase.value}" if host else "no pool"


def _describe_leases(state, pools):
    held = {pool: state.leases[pool].holder for pool in pools if pool in state.leases}
    holders = (f"{pool}: {held.get(pool, 'nobody')}" for pool in sorted(pools))
    return ", ".join(holders)


def _describe_wave(state, pool):
    wave = state.waves.get(pool)
    return f"wave {wave.started} {wave.phase.value}" if wave else "no wave"


def describe_subject(state, body):
    """Return a description of the subject of ``body`` in ``state``, may be empty.

    >>> from azurelanding import fleet
    >>> describe_subject(fleet.FleetState(), records.HostDraining("h1", "fan", 0))
    'no pool'
    """
    match body:
        case records.RulesPublished() | records.RulesEdited():
            return f"rules version {state.rules_version}"
        case records.LeasesTaken():
            return _describe_leases(state, body.bases)
        case records.LeasesRenewed() | records.SnapshotTaken():
            return ""
    if hasattr(body, "host"):
        return _describe_host(state, body.host)
    return _describe_wave(state, body.pool) if hasattr(body, "pool") else ""
