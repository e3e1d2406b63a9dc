"""
Fault proxy
===========

Stands between the daemons and one instance, and harms the connections of some daemons:
delays, resets, silences them, or cuts one direction.
"""

import asyncio
from dataclasses import dataclass, field

CHUNK = 65536  # bytes


@dataclass
class LinkFaults:
    """What goes wrong; each set holds names of VMs, ``*`` stands for all."""

    delay: float = 0.0
    silenced: set = field(default_factory=set)
    cut_up: set = field(default_factory=set)
    cut_down: set = field(default_factory=set)
    refused: set = field(default_factory=set)

    def clear(self):
        """End all faults."""
        self.delay = 0.0
        for one in (self.silenced, self.cut_up, self.cut_down, self.refused):
            one.clear()


class InstanceProxy:
    """Proxy of one instance; an async context manager."""

    def __init__(self, instance):
        self._instance = instance
        self._server = None
        self._links = {}
        self.faults = LinkFaults()
        self.port = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        self.reset("*")

    def reset(self, vm):
        """Reset the open connections of a VM, or of all."""
        for writers, name in list(self._links.items()):
            if vm in ("*", name):
                for writer in writers:
                    writer.transport.abort()

    def _hit(self, names, vm):
        return "*" in names or vm in names

    async def _serve(self, reader, writer):
        key = None
        try:
            first = await reader.readline()
            vm = first.decode("utf-8", "replace").split(" ")[2].strip()
            if self._hit(self.faults.refused, vm):
                writer.transport.abort()
                return
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self._instance.port
            )
            key = (writer, up_writer)
            self._links[key] = vm
            up_writer.write(first)
            await asyncio.gather(
                self._pump(reader, up_writer, vm, "cut_up"),
                self._pump(up_reader, writer, vm, "cut_down"),
            )
        except (OSError, IndexError, asyncio.IncompleteReadError):
            pass
        finally:
            self._links.pop(key, None)
            for one in key or (writer,):
                one.transport.abort()

    async def _pump(self, reader, writer, vm, direction):
        while True:
            data = await reader.read(CHUNK)
            if not data:
                writer.transport.abort()
                return
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)
            faults = self.faults
            lost = self._hit(faults.silenced, vm)
            if lost or self._hit(getattr(faults, direction), vm):
                # Nothing of this connection arrives any more, also after the fault.
                await asyncio.sleep(3600)
            writer.write(data)
