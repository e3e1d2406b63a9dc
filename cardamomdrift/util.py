"""
Utilities
=========

Unit conversion, hashing and task helpers that several packages use.
"""

import asyncio

import msgspec
import xxhash

# Errors of msgspec on input that cannot be decoded.  It recurses into nested values,
# also into those of fields that it passes over.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
MILLISECONDS = 1000.0  # per second
DIGEST_MASK = 0xFFFFFFFF  # 32 bits suffice for the few dozen sets of daemons in a day
CANCEL_RETRY_INTERVAL = 0.5  # seconds


def seconds(milliseconds):
    """Convert milliseconds to seconds; None stays None."""
    return None if milliseconds is None else milliseconds / MILLISECONDS


def hash_number(*parts):
    """Return a 64-bit hash of some strings."""
    return xxhash.xxh3_64_intdigest(_to_bytes("\0".join(parts)))


def hash_bytes(data):
    """Return a 64-bit hash of some bytes."""
    return xxhash.xxh3_64_intdigest(data)


def hash_text(text):
    """Return a 128-bit hash of a text, in hex."""
    return xxhash.xxh3_128_hexdigest(_to_bytes(text))


def text_size(text):
    """Return the bytes that a text of the line protocol takes on the wire."""
    return len(text) if text.isascii() else len(text.encode("utf-8", "surrogateescape"))


def _to_bytes(text):
    # Texts of callers may hold escaped bytes, which are lone surrogates.
    return text.encode("utf-8", "surrogatepass")


def validation_error_lines(error, place):
    """Return a line ``place: key: message`` for each pydantic validation error."""
    lines = []
    for fault in error.errors():
        key = ".".join(str(part) for part in fault["loc"]) or "(whole file)"
        lines.append(f"{place}: {key}: {fault['msg']}")
    return lines


def keep_task(tasks, work):
    """Start a coroutine as a task and keep it in a set until it ends; return it."""
    task = asyncio.create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


async def cancel_all(tasks):
    """Cancel tasks and wait until they have ended.

    A library call that is about to return may swallow the cancellation, so tasks that
    have not ended are cancelled again.
    """
    pending = {task for task in tasks if task is not asyncio.current_task()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_INTERVAL)
