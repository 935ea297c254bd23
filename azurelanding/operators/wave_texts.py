"""Print the state of a wave as a short text."""


def print_wave(report):
    """Print a ``WaveReport`` in one to three lines."""
    if not report.wave:
        print(f"pool {report.pool}: no wave")
        return
    reason = f" ({report.reason})" if report.reason else ""
    print(
        f"pool {report.pool}: wave {report.wave} {report.phase}{reason}, asked by "
        f"{report.asked_by}: {len(report.done)} done, {len(report.in_course)} in "
        f"course, {len(report.pending)} pending, {len(report.failed)} failed"
    )
    if report.failed:
        print(f"  failed: {', '.join(report.failed)}")
    if report.next_step:
        print(f"  next: {report.next_step}")
