"""Test that writing logs never blocks the daemon."""

import os
import time

import testtools

from azurelanding.log import NonBlockingOutput

LINE_COUNT = 20_000


class NonBlockingOutputTest(testtools.TestCase):
    """Output to a pipe that nobody reads."""

    def test_full_pipe_drops_lines_and_reports_how_many(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        output = NonBlockingOutput(writer)
        started = time.monotonic()
        for number in range(LINE_COUNT):
            output.write(f"line {number}")
            output.write("\n")
        self.assertLess(time.monotonic() - started, 5.0)
        first = os.read(reader, 1 << 20).decode()
        output.write("last\n")
        second = os.read(reader, 1 << 20).decode()
        lines = (first + second).splitlines()
        self.assertEqual("last", lines[-1])
        self.assertIn("lines dropped", lines[-2])
        dropped = int(lines[-2].rpartition("=")[2])
        self.assertEqual(LINE_COUNT, len(lines) - 2 + dropped)
