"""
Session tokens
==============

A token carries the positions of a session's last acknowledged writes, one for each
group.  A digest keyed with the deployment's token key lets any of its daemons check it.
"""

import base64
import binascii
import hashlib
import hmac

import msgspec
from returns.result import Failure, Success

from cardamomdrift.errors import BadToken
from cardamomdrift.position import Position

DIGEST_SIZE = 16  # bytes
TOKEN_LIMIT = 64 * 1024  # characters


def _digest(key, payload):
    return hashlib.blake2b(payload, key=key, digest_size=DIGEST_SIZE).digest()


def encode_token(key, positions):
    """Return a token with the positions of groups, by name."""
    values = {
        group: (position.term, position.sequence)
        for group, position in positions.items()
    }
    payload = msgspec.msgpack.encode(values)
    return base64.urlsafe_b64encode(_digest(key, payload) + payload).decode()


def decode_token(key, text):
    """Return the positions in a token, as Success, or Failure of BadToken."""
    if len(text) > TOKEN_LIMIT:
        return Failure(BadToken("the token is too long"))
    try:
        raw = base64.b64decode(text, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return Failure(BadToken("the token is malformed"))
    digest, payload = raw[:DIGEST_SIZE], raw[DIGEST_SIZE:]
    if not hmac.compare_digest(digest, _digest(key, payload)):
        return Failure(BadToken("the token was not made by this deployment"))
    values = msgspec.msgpack.decode(payload, type=dict[str, tuple[int, int]])
    return Success({group: Position(*pair) for group, pair in values.items()})
