"""
TLS upgrade
===========

Upgrades a packet stream to TLS during the MySQL handshake.  A caller may send its first
TLS bytes together with the request for TLS.  Bytes that were already read are passed to
the TLS layer; the upgrade of `mysql_mimic` would lose them.
"""

import asyncio


class TlsStream:
    """Packet stream that can be upgraded to TLS.

    All other attributes come from the wrapped stream of `mysql_mimic`.
    """

    def __init__(self, stream):
        self._stream = stream
        self._upgraded = False

    def __getattr__(self, name):
        return getattr(self._stream, name)

    @property
    def upgraded(self):
        """Whether the stream runs over TLS."""
        return self._upgraded

    async def start_tls(self, context):
        """Run the TLS handshake as the server.

        Raises
        ------
        OSError
            If the handshake fails.
        """
        reader, writer = self._stream.reader, self._stream.writer
        transport = writer.transport
        read_ahead = bytes(reader._buffer)
        reader._buffer.clear()
        loop = asyncio.get_running_loop()
        handshake = asyncio.ensure_future(
            loop.start_tls(
                transport, transport.get_protocol(), context, server_side=True
            )
        )
        await asyncio.sleep(0)  # lets start_tls set the transport's TLS protocol
        await asyncio.sleep(0)  # lets the loop call its connection_made
        if read_ahead and not handshake.done():
            _feed_protocol(transport.get_protocol(), read_ahead)
        tls_transport = await handshake
        writer._transport = tls_transport
        reader._transport = tls_transport
        self._upgraded = True


def _feed_protocol(protocol, data):
    """Pass bytes to a buffered protocol as its transport would."""
    while data:
        buffer = protocol.get_buffer(len(data))
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        protocol.buffer_updated(size)
        data = data[size:]
