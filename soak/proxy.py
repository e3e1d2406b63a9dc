"""
Fault proxy
===========

Forwards the daemons' connections to one instance and injects faults into those of some
daemons: it delays, resets, refuses or silences them, or cuts one direction.
"""

import asyncio
from dataclasses import dataclass, field

CHUNK_SIZE = 65536  # bytes


@dataclass
class LinkFaults:
    """Faults of connections; each set holds names of VMs, ``*`` stands for all.

    Attributes
    ----------
    delay : float
        Seconds before data is forwarded.
    silenced : set of str
        VMs for which nothing is forwarded.
    cut_up : set of str
        VMs for which nothing is forwarded to the instance.
    cut_down : set of str
        VMs for which nothing is forwarded from the instance.
    refused : set of str
        VMs whose new connections are reset.
    """

    delay: float = 0.0
    silenced: set = field(default_factory=set)
    cut_up: set = field(default_factory=set)
    cut_down: set = field(default_factory=set)
    refused: set = field(default_factory=set)

    def clear(self):
        """End all faults."""
        self.delay = 0.0
        for vms in (self.silenced, self.cut_up, self.cut_down, self.refused):
            vms.clear()


class InstanceProxy:
    """Proxy of one instance; an async context manager.

    Parameters
    ----------
    instance : LineInstance

    Attributes
    ----------
    faults : LinkFaults
    port : int
        Port to which daemons connect.
    """

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
        """Reset the open connections of a VM, or of all VMs for ``*``."""
        for writers, name in list(self._links.items()):
            if vm in ("*", name):
                for writer in writers:
                    writer.transport.abort()

    def _applies(self, vms, vm):
        return "*" in vms or vm in vms

    async def _serve(self, reader, writer):
        link = None
        try:
            first = await reader.readline()
            vm = first.decode("utf-8", "replace").split(" ")[2].strip()
            if self._applies(self.faults.refused, vm):
                writer.transport.abort()
                return
            instance_reader, instance_writer = await asyncio.open_connection(
                "127.0.0.1", self._instance.port
            )
            link = (writer, instance_writer)
            self._links[link] = vm
            instance_writer.write(first)
            await asyncio.gather(
                self._forward(reader, instance_writer, vm, "cut_up"),
                self._forward(instance_reader, writer, vm, "cut_down"),
            )
        except (OSError, IndexError, asyncio.IncompleteReadError):
            pass
        finally:
            self._links.pop(link, None)
            for open_writer in link or (writer,):
                open_writer.transport.abort()

    async def _forward(self, reader, writer, vm, direction):
        while True:
            data = await reader.read(CHUNK_SIZE)
            if not data:
                writer.transport.abort()
                return
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)
            faults = self.faults
            is_silenced = self._applies(faults.silenced, vm)
            if is_silenced or self._applies(getattr(faults, direction), vm):
                # The connection stays silent, also after the fault has ended.
                await asyncio.sleep(3600)
            writer.write(data)
