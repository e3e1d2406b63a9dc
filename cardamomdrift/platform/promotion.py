"""
Promotion call
==============

The platform's call that names a new primary; see `ports.PromotionService`.
"""

import asyncio
import socket
import struct

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from cardamomdrift.errors import PlatformUnavailable

PATH = "/promotion"
HOLDER_HEADER = "X-Duty-Holder"
TOKEN_HEADER = "X-Fencing-Token"
# Closing resets the connection, so that a call held up on its way is not delivered
# after its time limit, when another holder may have called.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def _make_socket(address):
    family, kind, protocol, _, _ = address
    raw = socket.socket(family, kind, protocol)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    return raw


class HttpPromotion:
    """Client of the promotion call.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address):
        self._url = f"http://{address}{PATH}"

    async def promote(self, group, instance, holder, token, timeout):
        """Make an instance lead the group's next term."""
        # A connection for each call: one that has gone silent would cost a time limit.
        connector = TCPConnector(force_close=True, socket_factory=_make_socket)
        headers = {
            "Content-Type": "application/json",
            HOLDER_HEADER: holder,
            TOKEN_HEADER: str(token),
        }
        body = msgspec.json.encode({"backend": group, "id": instance})
        try:
            async with (
                ClientSession(connector=connector) as session,
                session.post(
                    self._url,
                    data=body,
                    headers=headers,
                    timeout=ClientTimeout(total=timeout),
                ) as response,
            ):
                await response.read()
                status = response.status
        except (ClientError, OSError, asyncio.TimeoutError) as error:
            reason = f"{PATH}: {type(error).__name__} {error}".rstrip()
            raise PlatformUnavailable(reason) from error
        if status in (200, 409):
            return status == 200
        raise PlatformUnavailable(f"{PATH}: status {status}")
