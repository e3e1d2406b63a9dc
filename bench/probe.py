"""
Process probe
=============

Measures a running daemon from outside: processor time, memory, statements, and calls
and bytes at the platform.  ``bench.backend`` runs the stand-ins.
"""

import asyncio
import json
import os
import statistics
import time
from pathlib import Path

import asyncmy
import fire

from bench.load import LatencyHistogram, query

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes
STATEMENT_COUNT = 4000
IDLE_TIME = 6.0  # seconds of each idle run, and of the wait before the first one
RUNS = 3
SETTLE_TIME = 1.0  # seconds from the last connection until memory is read
BOUNDED_AGE_READ = "/* cardamomdrift: class=old */ SELECT text FROM places WHERE id = 7"
FRESH_READ = "SELECT text FROM places WHERE id = 7"
WRITE = "INSERT INTO records (session, number) VALUES ('x', 1)"


def processor_seconds(pid):
    """Return the seconds of processor time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid):
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_SIZE


def _read_ports(folder):
    """Return the caller port of the first daemon and the port of a primary."""
    value = json.loads((Path(folder) / "vm-1.jsonc").read_text())
    return value["callers"]["port"], int((Path(folder) / "ready").read_text())


async def _connect(port):
    return await asyncmy.connect(
        host="127.0.0.1", port=port, user="x", database="d0", autocommit=None
    )


async def _run_statements(port, connections, sql, count):
    """Run statements; return the elapsed seconds and the latencies."""
    opened = [await _connect(port) for _ in range(connections)]
    latencies = LatencyHistogram()

    async def work(connection):
        for _ in range(count // connections):
            started = time.perf_counter()
            await query(connection, sql)
            latencies.add(time.perf_counter() - started)

    await query(opened[0], sql)
    started = time.perf_counter()
    await asyncio.gather(*(work(connection) for connection in opened))
    elapsed = time.perf_counter() - started
    for connection in opened:
        connection.close()
    return elapsed, latencies


async def _measure_cost(folder, pid, backend):
    proxy_port, direct_port = _read_ports(folder)
    print(
        "| path | callers | statements/s | daemon µs each | backend µs each | p50 ms |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    rows = (
        ("direct", direct_port, FRESH_READ),
        ("proxy, stated age", proxy_port, BOUNDED_AGE_READ),
        ("proxy, fresh", proxy_port, FRESH_READ),
        ("proxy, write", proxy_port, WRITE),
    )
    for connections in (1, 50, 200):
        for name, port, sql in rows:
            before = processor_seconds(pid), processor_seconds(backend)
            elapsed, latencies = await _run_statements(
                port, connections, sql, STATEMENT_COUNT
            )
            daemon_time = processor_seconds(pid) - before[0]
            backend_time = processor_seconds(backend) - before[1]
            count = latencies.count
            print(
                f"| {name} | {connections} | {count / elapsed:.0f} | "
                f"{daemon_time / count * 1e6:.0f} | {backend_time / count * 1e6:.0f} | "
                f"{latencies.percentile(50):.2f} |",
                flush=True,
            )


async def _measure_connections(folder, pid):
    proxy_port, _ = _read_ports(folder)
    opened = []
    base_memory = resident_bytes(pid)
    print("| idle callers | daemon MB | KB for each | µs to open one |")
    print("| --- | --- | --- | --- |")
    print(f"| 0 | {base_memory / 1e6:.1f} | | |")
    for target in (500, 1000, 2000):
        before, opened_before = processor_seconds(pid), len(opened)
        while len(opened) < target:
            opened.append(await _connect(proxy_port))
        open_time = (processor_seconds(pid) - before) / (target - opened_before) * 1e6
        await asyncio.sleep(SETTLE_TIME)
        memory = resident_bytes(pid)
        per_connection = (memory - base_memory) / target / 1000
        print(
            f"| {target} | {memory / 1e6:.1f} | {per_connection:.1f} | "
            f"{open_time:.0f} |"
        )
    for connection in opened:
        connection.close()


def _read_platform_counts(folder):
    """Return the platform's counts of reads, writes and bytes."""
    return json.loads((Path(folder) / "platform").read_text())


async def _measure_idle(folder, pid, groups):
    await asyncio.sleep(IDLE_TIME)
    shares, rates = [], []
    for _ in range(RUNS):
        before, counts = processor_seconds(pid), _read_platform_counts(folder)
        started = time.monotonic()
        await asyncio.sleep(IDLE_TIME)
        elapsed = time.monotonic() - started
        shares.append((processor_seconds(pid) - before) / elapsed)
        after = _read_platform_counts(folder)
        rates.append([(b - a) / elapsed for a, b in zip(counts, after, strict=True)])
    read_rate, write_rate, byte_rate = (
        statistics.median(values) for values in zip(*rates, strict=True)
    )
    print(
        f"| {groups} | {min(shares):.2%} | {statistics.median(shares):.2%} | "
        f"{max(shares):.2%} | {resident_bytes(pid) / 1e6:.1f} | {read_rate:.2f} | "
        f"{write_rate:.2f} | {byte_rate:.0f} |"
    )


def main(what, folder, pid, backend=0, groups=1):
    """Measure a daemon.

    Parameters
    ----------
    what : str
        ``cost``, ``connections`` or ``idle``.
    folder : str
        Folder that ``bench.backend`` writes.
    pid : int
        Process of the daemon.
    backend : int
        Process of the stand-ins; for ``cost``.
    groups : int
        Number of groups that the daemon follows; for ``idle``.
    """
    match what:
        case "cost":
            asyncio.run(_measure_cost(folder, pid, backend))
        case "connections":
            asyncio.run(_measure_connections(folder, pid))
        case "idle":
            asyncio.run(_measure_idle(folder, pid, groups))


if __name__ == "__main__":
    fire.Fire(main)
