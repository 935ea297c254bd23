"""Measure the cost of a change of the rules: bytes in the log and time to fold.

``python -m bench.slopes_rules`` builds a rules file of the size reached in two years
(96 pools, 500 services, 180 teams), publishes the whole file and then edits one line
of it. It prints ``name=value`` lines.
"""

import time

from azurelanding import fleet, records, rule_edits
from azurelanding.log_service import wire

POOL_COUNT = 95
SERVICE_COUNT = 500
TEAM_COUNT = 180
EDIT_COUNT = 20


def make_rules(changed_deadline=10):
    """Return the text of the rules file.

    The service in the middle has ``changed_deadline``, in seconds.
    """
    lines = ["pool spare spare=yes  # Ana Prado"]
    for number in range(POOL_COUNT):
        lines.append(f"pool p{number} hosts=h{number}-* availability=90%  # Ana Prado")
    for number in range(SERVICE_COUNT):
        deadline = changed_deadline if number == SERVICE_COUNT // 2 else 10
        options = f"pool=p{number % POOL_COUNT} deadline={deadline}s floor=10%"
        lines.append(f"service s{number} {options}  # Ana Prado: ticket {number}")
    lines += [f"team t{number} tasks=400  # Ana Prado" for number in range(TEAM_COUNT)]
    return "\n".join(lines) + "\n"


def measure_fold(state, body):
    """Decode and fold a record; return its bytes and the processor seconds."""
    record = records.new_record(body, "control-1.abcdef01", "Ana Prado", 1.0)
    text = wire.encode_record(record)
    started = time.process_time()
    fleet.fold(state, state.next_offset, wire.decode_record(text))
    return len(text), time.process_time() - started


def main():
    """Print the cost of publishing the whole file and of editing one line."""
    state = fleet.FleetState()
    size, seconds = measure_fold(state, records.RulesPublished(make_rules(), 0))
    print(f"rules_lines={len(state.rules_text.splitlines())}")
    print(f"publish_bytes={size}\npublish_fold_ms={1e3 * seconds:.1f}")
    sizes, total = [], 0.0
    for number in range(EDIT_COUNT):
        edits = rule_edits.make_edits(state.rules_text, make_rules(11 + number))
        size, seconds = measure_fold(
            state, records.RulesEdited(edits, state.rules_version)
        )
        sizes.append(size)
        total += seconds
    print(f"edit_bytes={max(sizes)}\nedit_fold_ms={1e3 * total / EDIT_COUNT:.1f}")


if __name__ == "__main__":
    main()
