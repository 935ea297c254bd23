"""Manage the capacity and the maintenance of a fleet.

The package is a library; ``azurelanding.main`` wires it into two daemons and the
operators' command line. Each peer that the system talks to has a package with
all of its input and output. Decisions are the flat modules beside them.
"""

__version__ = "0.1.0"
