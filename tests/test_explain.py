"""
Tests of explanations and log lines
===================================

Explaining a request by the logs of several daemons, and writing logs within a budget.
"""

import io
import os
import unittest

import structlog

from cardamomdrift.telemetry.explain import explain, format_explanation, parse_line
from cardamomdrift.telemetry.line_writer import (
    PENDING_BYTES_LIMIT,
    LineBudget,
    LineWriter,
)
from cardamomdrift.telemetry.log import setup_bounded_logging

TIMESTAMP = "timestamp=2026-12-04T11:00:{:06.3f}Z"


def format_line(seconds, vm, event, **fields):
    """Return a log line written some seconds after 11:00 UTC."""
    rest = " ".join(f"{key}={value}" for key, value in fields.items())
    return f'{TIMESTAMP.format(seconds)} level=info vm={vm} event="{event}" {rest}\n'


LOGS = [
    "  12.1 vm-2 "
    + format_line(
        12.1, "vm-2", "request failed", id="r1", group="g", outcome="NoPrimary"
    ),
    format_line(12.0, "vm-1", "primary suspected", group="g", reason="unreachable"),
    format_line(
        12.05, "vm-1", "primary suspected", group="other", reason="unreachable"
    ),
    format_line(3.0, "vm-1", "primary suspected", group="g", reason="old"),
    format_line(12.02, "vm-2", "store lost", table="op"),
    format_line(12.02, "vm-3", "store lost", table="op"),
    format_line(12.5, "vm-3", "request served", id="r1", group="g", outcome="served"),
    format_line(12.1, "vm-2", "request served", id="r2", group="g", outcome="served"),
    "Traceback (most recent call last):\n",
    "timestamp=never event=x\n",
]


class ExplainTest(unittest.TestCase):
    def test_the_failed_attempt_is_the_deciding_line(self):
        explanation = explain("r1", LOGS)
        self.assertEqual([line.vm for line in explanation.lines], ["vm-2", "vm-3"])
        self.assertEqual(explanation.deciding.vm, "vm-2")
        self.assertEqual(explanation.unreadable, 2)

    def test_nearby_events_of_its_group_and_vm_are_shown(self):
        explanation = explain("r1", LOGS)
        shown = [(line.event, line.vm) for line in explanation.nearby_events]
        self.assertEqual(shown, [("primary suspected", "vm-1"), ("store lost", "vm-2")])

    def test_text_explains_the_outcome(self):
        text = format_explanation("r1", explain("r1", LOGS))
        self.assertIn("not run: no primary", text)
        self.assertIn("2 lines could not be read", text)

    def test_an_unknown_id_is_reported(self):
        text = format_explanation("r9", explain("r9", LOGS))
        self.assertIn("no line of these logs has id r9", text)

    def test_quoted_values(self):
        line = parse_line(format_line(1.0, "vm-1", "x", reason='"a \\"b\\" c"'))
        self.assertEqual(line.fields["reason"], 'a "b" c')


class LineWriterTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer_end = os.pipe()
        self.now = 0.0
        self.writer = LineWriter(self.writer_end, lambda: self.now)
        self.addCleanup(structlog.reset_defaults)

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer_end)

    def test_a_stalled_reader_causes_dropped_lines_and_no_blocking(self):
        setup_bounded_logging("info", self.writer)
        log = structlog.get_logger()
        for number in range(20_000):
            self.now += 0.01
            log.info("request served", number=number, filler="x" * 100)
        self.assertGreater(self.writer.dropped, 0)
        self.assertLessEqual(self.writer._pending_bytes, PENDING_BYTES_LIMIT + 1000)
        text = b""
        while self.writer._pending:
            text += os.read(self.reader, 1 << 20)
            self.writer.flush()
        text += os.read(self.reader, 1 << 20)
        self.now += 10
        log.info("request served", number=-1)
        text = os.read(self.reader, 1 << 20)
        self.assertIn(b"log lines left out", text)

    def test_failures_have_a_separate_budget(self):
        setup_bounded_logging("info", self.writer)
        log = structlog.get_logger()
        for _ in range(2000):
            log.info("request served")
        dropped = self.writer.dropped
        self.assertGreater(dropped, 0)
        os.read(self.reader, 1 << 20)
        log.warning("request failed", id="r1")
        self.writer.flush()
        self.assertEqual(self.writer.dropped, dropped)
        self.assertIn(b"request failed", os.read(self.reader, 1 << 20))

    def test_budget_refills(self):
        budget = LineBudget(10.0)
        admitted = sum(budget.take(0.0) for _ in range(100))
        self.assertEqual(admitted, 20)
        self.assertEqual(sum(budget.take(1.0) for _ in range(100)), 10)


class StandardErrorTest(unittest.TestCase):
    def test_default_logging_still_writes_to_a_stream(self):
        from cardamomdrift.telemetry.log import make_log, setup_logging

        stream = io.StringIO()
        setup_logging("info", stream)
        self.addCleanup(structlog.reset_defaults)
        make_log("vm-1").info("daemon started")
        self.assertIn('event="daemon started"', stream.getvalue())


if __name__ == "__main__":
    unittest.main()
