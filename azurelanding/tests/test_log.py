"""Test that logs never hold up the daemon."""

import os
import time

import testtools

from azurelanding.log import NonBlockingOutput

LINES = 20_000


class NonBlockingOutputTest(testtools.TestCase):
    """Lines to a pipe that is not read."""

    def test_unread_output_drops_lines_and_counts_them(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        output = NonBlockingOutput(writer)
        began = time.monotonic()
        for number in range(LINES):
            output.write(f"line {number}")
            output.write("\n")
        self.assertLess(time.monotonic() - began, 5.0)
        first = os.read(reader, 1 << 20).decode()
        output.write("last\n")
        second = os.read(reader, 1 << 20).decode()
        lines = (first + second).splitlines()
        self.assertEqual("last", lines[-1])
        self.assertIn("lines dropped", lines[-2])
        told = int(lines[-2].rpartition("=")[2])
        self.assertEqual(LINES, len(lines) - 2 + told)
