"""
Promotion call
==============

The platform's call that names a new primary; see `ports.PromotionService`.
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
        """Make an instance lead the group's next term."""
        headers = [(HOLDER_HEADER, holder), (TOKEN_HEADER, str(token))]
        body = msgspec.json.encode({"backend": group, "id": instance})
        try:
            # A connection for each call: one gone silent would cost a time limit.
            async with HttpClient(self._address) as client:
                response = await client.call(
                    "POST", PROMOTION_PATH, timeout, body, headers
                )
        except CallFailed as error:
            raise PlatformUnavailable(f"{PROMOTION_PATH}: {error}") from error
        if response.status in (200, 409):
            return response.status == 200
        raise PlatformUnavailable(f"{PROMOTION_PATH}: status {response.status}")
