"""Summarize records of waves and moves in one line each."""

from azurelanding import records


def _move_started(body):
    return f"host {body.host} drains to move to pool {body.pool}"


def _host_rebooting(body):
    return f"host {body.host} is drained and reboots"


def _host_failed(body):
    return f"host {body.host} out of service: {body.reason}"


def _wave_started(body):
    return f"wave of pool {body.pool} starts over {len(body.hosts)} hosts"


def _wave_step_taken(body):
    return f"wave of pool {body.pool} drains {', '.join(body.hosts)}"


def _wave_halted(body):
    return f"wave {body.wave} of pool {body.pool} halted: {body.reason}"


def _wave_resumed(body):
    return f"wave {body.wave} of pool {body.pool} goes on"


def _wave_undone(body):
    return f"wave {body.wave} of pool {body.pool} ended by an operator"


def _wave_finished(body):
    return f"wave {body.wave} of pool {body.pool} finished"


SUMMARIES = {
    records.MoveStarted: _move_started,
    records.HostRebooting: _host_rebooting,
    records.HostFailed: _host_failed,
    records.WaveStarted: _wave_started,
    records.WaveStepTaken: _wave_step_taken,
    records.WaveHalted: _wave_halted,
    records.WaveResumed: _wave_resumed,
    records.WaveUndone: _wave_undone,
    records.WaveFinished: _wave_finished,
}
