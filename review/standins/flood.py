"""Peers that flood a daemon: they send statements without waiting for the answers.

Usage: python3 flood.py HOST PORT PEERS SECONDS
"""

import asyncio
import sys

STATEMENTS = b"QUERY f SET a b\r\n" * 4000
CHUNK = 1 << 18  # bytes read at once


async def _read(reader):
    while await reader.read(CHUNK):
        pass


async def _flood(host, port, seconds):
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b"START book flood\r\n")
    reading = asyncio.ensure_future(_read(reader))
    try:
        async with asyncio.timeout(seconds):
            while True:
                writer.write(STATEMENTS)
                await writer.drain()
    except (OSError, TimeoutError):
        pass
    finally:
        reading.cancel()
        writer.transport.abort()


async def main(host, port, peers, seconds):
    """Flood from a number of peers at once."""
    floods = [_flood(host, port, seconds) for _ in range(peers)]
    await asyncio.gather(*floods, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(
        main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
    )
