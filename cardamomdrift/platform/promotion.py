"""
Promotion call
==============

HTTP client of the platform's call that promotes an instance to primary.  It implements
`ports.PromotionService`.
"""

import msgspec

from cardamomdrift.errors import PlatformUnavailable
from cardamomdrift.http.client import CallFailed, HttpClient

PROMOTION_PATH = "/promotion"
HOLDER_HEADER = "X-Duty-Holder"
TOKEN_HEADER = "X-Fencing-Token"


class HttpPromotion:
    """Client of the promotion call.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address):
        self._address = address

    async def promote(self, group, instance, holder, token, timeout):
        """Ask the platform to promote an instance; return whether it accepted the call.

        Status 409 means that the instance is not running.
        """
        headers = [(HOLDER_HEADER, holder), (TOKEN_HEADER, str(token))]
        body = msgspec.json.encode({"backend": group, "id": instance})
        try:
            # A new connection for each call: an idle one may be dead, and the call
            # would wait for its whole timeout.
            async with HttpClient(self._address) as client:
                response = await client.call(
                    "POST", PROMOTION_PATH, timeout, body, headers
                )
        except CallFailed as error:
            raise PlatformUnavailable(f"{PROMOTION_PATH}: {error}") from error
        if response.status in (200, 409):
            return response.status == 200
        raise PlatformUnavailable(f"{PROMOTION_PATH}: status {response.status}")
