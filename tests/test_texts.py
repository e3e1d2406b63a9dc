"""
Tests of texts
==============

What a caller sends reaches the instances unchanged, and so do their answers, however
odd the texts are.
"""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomdrift.errors import RefusedByInstance
from cardamomdrift.platform.connection import LineConnection
from cardamomdrift.platform.line_protocol import (
    Query,
    Start,
    Terminate,
    parse_message,
    payload_size,
    render_answer,
    render_command,
    render_failure,
    render_query,
)
from cardamomdrift.platform.stream import LineStream
from cardamomdrift.ports import TransactionState
from cardamomdrift.position import Position
from cardamomdrift.sessions.commands import (
    Begin,
    Commit,
    Discard,
    Execute,
    Malformed,
    Prepare,
    Read,
    Rollback,
    SetValue,
    Write,
)
from soak.texts import ODD_PARTS, PROTOCOL_WORDS, as_bytes, as_text

STEADY = settings(derandomize=True, database=None, deadline=None, max_examples=200)
FLOOR = Position(3, 1207)
COMMANDS = (Begin, Commit, Discard, Execute, Prepare, Read, Rollback, SetValue, Write)

fillers = st.sampled_from((*[0] * 18, 1, 70_000))


def without(characters):
    """Return a filter that removes some bytes."""
    return lambda data: data.translate(None, characters)


@st.composite
def odd_texts(draw):
    """Texts of one message, without bytes that end it."""
    parts = st.one_of(st.sampled_from(ODD_PARTS), st.binary(max_size=3))
    data = b"".join(draw(st.lists(parts, max_size=6)))
    return without(b"\r\n\0")(data) + b"x" * draw(fillers)


odd_words = odd_texts().map(without(b" ")).filter(len)
tails = st.one_of(st.just(b""), odd_texts().map(lambda text: b" " + text))
kinds = st.sampled_from((b"READ", b"WRITE"))
# Statements that an instance receives with the caller's id.
forwarded = st.one_of(
    st.tuples(kinds, tails).map(b"".join),
    st.tuples(st.just(b"EXECUTE "), odd_words, tails).map(b"".join),
    st.sampled_from((b"COMMIT", b"COMMIT ")),
)
# Statements whose content an instance receives without the caller's id.
kept = st.one_of(
    st.tuples(st.just(b"SET"), odd_words, odd_texts()),
    st.tuples(st.just(b"PARSE"), odd_words, kinds, odd_texts()),
).map(b" ".join)
verbs = st.sampled_from(
    (b"BEGIN", b"COMMIT", b"ROLLBACK", b"SET", b"PARSE", b"EXECUTE", b"CLOSE", b"READ")
)
anything = st.one_of(
    st.binary(max_size=40),
    odd_texts(),
    st.tuples(
        st.sampled_from((b"QUERY", b"START", b"TERM", b"QUERY 5c", *PROTOCOL_WORDS)),
        st.one_of(verbs, odd_texts()),
        odd_texts(),
    ).map(b" ".join),
)


def parse(data):
    return parse_message(as_text(data))


def render_line(request_id, command):
    return as_bytes(render_query(request_id, render_command(command)))


def expected_line(request_id, text, name=None, prefix=b""):
    """Return the line for an instance; ``name`` replaces the one in the text."""
    if name is not None:
        verb, given_name, *_ = text.split(b" ")
        text = b"%s %s%s" % (verb, name, text[len(verb) + 1 + len(given_name) :])
    return b"QUERY %s %s%s\r\n" % (request_id, prefix, text)


class RequestTextTest(unittest.TestCase):
    @STEADY
    @given(odd_words, forwarded, st.booleans())
    def test_a_forwarded_statement_keeps_its_bytes(self, request_id, text, renamed):
        query = parse(b"QUERY %s %s" % (request_id, text))
        command, name, prefix = query.command, None, b""
        if isinstance(command, Execute) and renamed:
            name = b"w0123456789abcdef"
            command = replace(command, name=name.decode())
        if isinstance(command, Read | Execute) and renamed:
            prefix = b"WAITLSN 3.1207 "
            command = replace(command, floor=FLOOR)
        line = expected_line(request_id, text, name, prefix)
        self.assertEqual(render_line(query.request_id, command), line)
        self.assertEqual(payload_size(render_command(command)), query.payload_bytes)

    @STEADY
    @given(kept)
    def test_values_and_shapes_keep_their_bytes(self, text):
        command, name = parse(b"QUERY 5c " + text).command, None
        if isinstance(command, Prepare):
            name = b"w0123456789abcdef"
            command = replace(command, name=name.decode())
        self.assertEqual(render_line("5c", command), expected_line(b"5c", text, name))

    def test_a_value_that_is_missing_gains_no_blank(self):
        command = parse(b"QUERY 5c SET zone").command
        if not isinstance(command, Malformed):
            self.assertEqual(render_line("5c", command), b"QUERY 5c SET zone\r\n")

    @STEADY
    @given(anything)
    def test_what_is_not_valid_is_malformed(self, line):
        message = parse(line)
        self.assertIsInstance(message, Query | Start | Terminate | Malformed)
        if not isinstance(message, Query):
            return
        command = message.command
        self.assertIsInstance(command, (*COMMANDS, Malformed))
        if isinstance(command, Read | Write | Execute | Commit):
            rendered = render_line(message.request_id, command)
            self.assertEqual(rendered, line + b"\r\n")

    @STEADY
    @given(odd_texts(), st.sampled_from((b"\r", b"\n", b"\0")), odd_texts())
    def test_a_line_break_inside_a_message_is_malformed(self, start, ending, rest):
        line = b"QUERY 5c READ " + start + ending + rest
        self.assertIsInstance(parse(line), Malformed)


class FakeTransport(mock.MagicMock):
    """Transport that hands the answer over, in parts, when something is sent."""

    def is_closing(self):
        return False


async def exchange(answer, cuts):
    """Return the Reply that a connection reads from an answer.

    Parameters
    ----------
    answer : bytes
    cuts : list of int
        Sizes of the parts in which the first bytes of the answer arrive.
    """
    transport, stream = FakeTransport(), LineStream()
    stream.connection_made(transport)

    def deliver(_data):
        rest = answer
        for size in cuts:
            stream.data_received(rest[:size])
            rest = rest[size:]
        stream.data_received(rest)

    transport.write = deliver
    connection = LineConnection(stream, None)
    [reply] = await connection.exchange([("5c", Read("READ x"))])
    return reply


answer_texts = st.one_of(odd_texts(), st.sampled_from((b"a\nb", b"\0", b"a\r", b"\r")))
cut_sizes = st.lists(st.integers(1, 9), max_size=4)


class AnswerTextTest(unittest.TestCase):
    @STEADY
    @given(st.lists(answer_texts, max_size=3), odd_words, cut_sizes)
    def test_rows_and_signatures_keep_their_bytes(self, rows, signature, cuts):
        lines = [b"ROW %s\r\n" % row for row in rows]
        answer = b"".join((*lines, b"COMPLETE %s\r\nREADY I 1.7\r\n" % signature))
        reply = asyncio.run(exchange(answer, cuts))
        rendered = render_answer(
            reply.rows, reply.signature, TransactionState.IDLE, reply.position
        )
        self.assertEqual(rendered, answer)

    @STEADY
    @given(odd_words, answer_texts, cut_sizes)
    def test_errors_of_an_instance_keep_their_bytes(self, code, detail, cuts):
        answer = b"ERROR %s %s\r\nREADY I 1.7\r\n" % (code, detail)
        reply = asyncio.run(exchange(answer, cuts))
        error = RefusedByInstance(reply.code, reply.detail)
        rendered = render_failure(error, TransactionState.IDLE, reply.position)
        self.assertEqual(rendered, answer)

    def test_an_error_without_a_text_gains_no_blank(self):
        reply = asyncio.run(exchange(b"ERROR EXECFAIL\r\nREADY I -\r\n", ()))
        error = RefusedByInstance(reply.code, reply.detail)
        rendered = render_failure(error, TransactionState.IDLE, None)
        self.assertEqual(rendered, b"ERROR EXECFAIL\r\nREADY I -\r\n")


if __name__ == "__main__":
    unittest.main()
