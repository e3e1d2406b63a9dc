"""
Object store
============

Client of the platform's object store, which speaks the S3 protocol.  Each object is
stored under the digest of its content and never changes.
"""

import asyncio
import hashlib

from aiohttp import ClientError
from botocore.auth import S3SigV4Auth
from botocore.awsrequest import AWSRequest
from botocore.credentials import Credentials

from cardamomdrift.errors import PlatformRefused, PlatformUnavailable

CALL_TIMEOUT = 3.0  # seconds
PRECONDITION_FAILED = 412
NOT_FOUND = 404


def digest_of(body):
    """Return the SHA-256 digest of a body, in hex."""
    return hashlib.sha256(body).hexdigest()


class ObjectStore:
    """Client of one deployment's bucket."""

    def __init__(self, session, options):
        self._session = session
        self._base_url = f"{options.url}/{options.bucket}"
        credentials = Credentials(options.access_key, options.secret_key)
        self._signer = S3SigV4Auth(credentials, "s3", options.region)

    async def put(self, body):
        """Store a body and return its digest; repeating the call is harmless.

        Raises
        ------
        PlatformUnavailable
        PlatformRefused
        """
        digest = digest_of(body)
        status, _ = await self._call("PUT", digest, body, {"If-None-Match": "*"})
        if status not in (200, PRECONDITION_FAILED):
            raise PlatformRefused(f"object PUT answered {status}")
        return digest

    async def get(self, digest):
        """Return the body with a digest, or None if there is none.

        Raises
        ------
        PlatformUnavailable
        PlatformRefused
            If the store answers with an error, or the body does not match its digest.
        """
        status, body = await self._call("GET", digest, b"", {})
        if status == NOT_FOUND:
            return None
        if status != 200:
            raise PlatformRefused(f"object GET answered {status}")
        if digest_of(body) != digest:
            raise PlatformRefused("the object's content does not match its digest")
        return body

    async def _call(self, method, digest, body, headers):
        request = AWSRequest(method, f"{self._base_url}/{digest}", headers, body)
        self._signer.add_auth(request)
        prepared = request.prepare()
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT),
                self._session.request(
                    method, prepared.url, headers=dict(prepared.headers), data=body
                ) as response,
            ):
                content = await response.read()
        except (ClientError, TimeoutError, OSError) as error:
            raise PlatformUnavailable(method) from error
        if response.status >= 500:
            raise PlatformUnavailable(f"object {method} answered {response.status}")
        return response.status, content
