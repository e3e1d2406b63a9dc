"""
Process probe
=============

Measures a running daemon from outside: processor time, memory, statements and bytes.
"""

import asyncio
import json
import os
import statistics
import time
from pathlib import Path

import asyncmy
import fire

from bench.load import Times, query

TICKS = os.sysconf("SC_CLK_TCK")  # per second
PAGE = os.sysconf("SC_PAGE_SIZE")  # bytes
STATEMENTS = 4000
IDLE_TIME = 6.0  # seconds
RUNS = 3
SETTLE_TIME = 1.0  # seconds
OLD = "/* cardamomdrift: class=old */ SELECT text FROM places WHERE id = 7"
FRESH = "SELECT text FROM places WHERE id = 7"
WRITE = "INSERT INTO records (session, number) VALUES ('x', 1)"


def processor_seconds(pid):
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid):
    """Return the memory that a process holds."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


def _ports(folder):
    value = json.loads((Path(folder) / "vm-1.jsonc").read_text())
    return value["callers"]["port"], int((Path(folder) / "ready").read_text())


async def _connect(port):
    return await asyncmy.connect(
        host="127.0.0.1", port=port, user="x", database="d0", autocommit=None
    )


async def _run_statements(port, connections, sql, count):
    """Return the wall seconds and the times of some statements."""
    opened = [await _connect(port) for _ in range(connections)]
    times = Times()

    async def work(connection):
        for _ in range(count // connections):
            started = time.perf_counter()
            await query(connection, sql)
            times.add(time.perf_counter() - started)

    await query(opened[0], sql)
    started = time.perf_counter()
    await asyncio.gather(*(work(one) for one in opened))
    elapsed = time.perf_counter() - started
    for one in opened:
        one.close()
    return elapsed, times


async def _cost(folder, pid, backend):
    proxy, direct = _ports(folder)
    print(
        "| path | callers | statements/s | daemon µs each | backend µs each | p50 ms |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    rows = (
        ("direct", direct, FRESH),
        ("proxy, stated age", proxy, OLD),
        ("proxy, fresh", proxy, FRESH),
        ("proxy, write", proxy, WRITE),
    )
    for connections in (1, 50, 200):
        for name, port, sql in rows:
            before = processor_seconds(pid), processor_seconds(backend)
            elapsed, times = await _run_statements(port, connections, sql, STATEMENTS)
            spent = processor_seconds(pid) - before[0]
            behind = processor_seconds(backend) - before[1]
            count = times.count
            print(
                f"| {name} | {connections} | {count / elapsed:.0f} | "
                f"{spent / count * 1e6:.0f} | {behind / count * 1e6:.0f} | "
                f"{times.percentile(50):.2f} |",
                flush=True,
            )


async def _connections(folder, pid):
    proxy, _ = _ports(folder)
    opened = []
    base = resident_bytes(pid)
    print("| idle callers | daemon MB | KB for each | µs to open one |")
    print("| --- | --- | --- | --- |")
    print(f"| 0 | {base / 1e6:.1f} | | |")
    for target in (500, 1000, 2000):
        before, had = processor_seconds(pid), len(opened)
        while len(opened) < target:
            opened.append(await _connect(proxy))
        spent = (processor_seconds(pid) - before) / (target - had) * 1e6
        await asyncio.sleep(SETTLE_TIME)
        held = resident_bytes(pid)
        each = (held - base) / target / 1000
        print(f"| {target} | {held / 1e6:.1f} | {each:.1f} | {spent:.0f} |")
    for one in opened:
        one.close()


def _platform(folder):
    return json.loads((Path(folder) / "platform").read_text())


async def _idle(folder, pid, groups):
    await asyncio.sleep(IDLE_TIME)
    shares, rates = [], []
    for _ in range(RUNS):
        before, counts = processor_seconds(pid), _platform(folder)
        started = time.monotonic()
        await asyncio.sleep(IDLE_TIME)
        elapsed = time.monotonic() - started
        shares.append((processor_seconds(pid) - before) / elapsed)
        after = _platform(folder)
        rates.append([(b - a) / elapsed for a, b in zip(counts, after, strict=True)])
    reads, writes, size = (statistics.median(one) for one in zip(*rates, strict=True))
    print(
        f"| {groups} | {min(shares):.2%} | {statistics.median(shares):.2%} | "
        f"{max(shares):.2%} | {resident_bytes(pid) / 1e6:.1f} | {reads:.2f} | "
        f"{writes:.2f} | {size:.0f} |"
    )


def main(what, folder, pid, backend=0, groups=1):
    """Measure a daemon.

    Parameters
    ----------
    what : str
        ``cost``, ``connections`` or ``idle``.
    folder : str
    pid : int
        Process of the daemon.
    backend : int
        Process of the stand-ins.
    groups : int
        Groups that the daemon follows.
    """
    match what:
        case "cost":
            asyncio.run(_cost(folder, pid, backend))
        case "connections":
            asyncio.run(_connections(folder, pid))
        case "idle":
            asyncio.run(_idle(folder, pid, groups))


if __name__ == "__main__":
    fire.Fire(main)
