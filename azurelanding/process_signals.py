"""Keep signals from ending the process while no event loop handles them.

By default, SIGHUP ends a process. A daemon that imports its modules and reads its
settings has no loop yet that could do better, and at its end it has none any more. So
the first lines of its program call ``hold``, and its last ones ``block``:

>>> hold()
>>> os.kill(os.getpid(), signal.SIGHUP)
>>> received()
[<Signals.SIGHUP: 1>]
"""

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_received = []


def hold():
    """Keep the signals from now on, until the event loop sets its own handlers."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, lambda number, _frame: _received.append(number))


def received():
    """Return the signals that were kept, in the order of their arrival."""
    return [signal.Signals(number) for number in _received]


def block():
    """Leave further signals pending for good, as the process is about to end."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
