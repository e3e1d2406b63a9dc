"""Peers that send a daemon large values, one after the other, and then a read.

Usage: python3 bombs.py HOST PORT PEERS VALUES BYTES RATE SECONDS
"""

import asyncio
import sys
import time

NOT_LATIN = "\N{MOUNTAIN RAILWAY}"
PIECE = 1 << 15  # bytes sent at once


class Link:
    """Paces what all peers send, as the link of one machine does."""

    def __init__(self, rate):
        self._rate = rate
        self._free_at = time.monotonic()

    async def send(self, writer, data):
        """Send bytes at the rate of the link."""
        for start in range(0, len(data), PIECE):
            piece = data[start : start + PIECE]
            self._free_at = max(self._free_at, time.monotonic())
            self._free_at += len(piece) / self._rate
            await asyncio.sleep(self._free_at - time.monotonic())
            writer.write(piece)
            await writer.drain()


async def _ask(link, reader, writer, text):
    await link.send(writer, f"QUERY r {text}\r\n".encode())
    while True:
        line = await reader.readuntil(b"\r\n")
        if line.startswith(b"READY"):
            return


async def _peer(link, host, port, values, size):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b"START look rude\r\n")
        await reader.readuntil(b"\r\n")
        for number in range(values):
            await _ask(link, reader, writer, f"SET v{number} {NOT_LATIN}{'x' * size}")
        await _ask(link, reader, writer, "READ i")
        await reader.read()
    finally:
        writer.transport.abort()


async def main(host, port, peers, values, size, rate, seconds):
    """Let a number of peers do so at once, for some seconds."""
    link = Link(rate)
    try:
        async with asyncio.timeout(seconds):
            work = [_peer(link, host, port, values, size) for _ in range(peers)]
            await asyncio.gather(*work, return_exceptions=True)
    except TimeoutError:
        pass


if __name__ == "__main__":
    HOST, PORT, PEERS, VALUES, BYTES, RATE, SECONDS = sys.argv[1:]
    asyncio.run(
        main(
            HOST,
            int(PORT),
            int(PEERS),
            int(VALUES),
            int(BYTES),
            float(RATE),
            float(SECONDS),
        )
    )
