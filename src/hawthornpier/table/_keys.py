"""
Operator keys; the table stores only their salted hashes.
"""

import base64
import binascii
import hashlib
import hmac
import secrets

# The cost is low because the check blocks the event loop.  A higher cost would
# not make guessing harder in practice, since keys are random.
_SCRYPT_COST = 1024
_BLOCK_SIZE = 8
_PARALLELISM = 1
_SALT_BYTES = 16
_HASH_BYTES = 32
_KEY_BYTES = 32
_PREFIX = f'scrypt${_SCRYPT_COST}${_BLOCK_SIZE}${_PARALLELISM}'


def new_operator_key() -> str:
    """
    Return a random key of 256 bits as text.
    """
    return secrets.token_urlsafe(_KEY_BYTES)


def hash_operator_key(key: str, *, salt: bytes | None = None) -> str:
    """
    Return the salted hash of *key* for the column *operator_key_hash*.
    """
    actual_salt = salt or secrets.token_bytes(_SALT_BYTES)
    digest = _derive_hash(key, actual_salt)
    return f'{_PREFIX}${_to_text(actual_salt)}${_to_text(digest)}'


def verify_operator_key(key: str, key_hash: str) -> bool:
    """
    Return whether *key_hash* is a hash of *key*.

    A hash of another form or cost matches no key: members write the hashes in
    their rows and must not control how long the check takes.
    """
    prefix, _, digest_text = key_hash.rpartition('$')
    prefix, _, salt_text = prefix.rpartition('$')
    if prefix != _PREFIX:
        return False
    try:
        salt, digest = _from_text(salt_text), _from_text(digest_text)
    except (binascii.Error, ValueError):
        return False
    return hmac.compare_digest(_derive_hash(key, salt), digest)


def _derive_hash(key: str, salt: bytes) -> bytes:
    return hashlib.scrypt(
        key.encode('utf-8', 'surrogatepass'),
        salt=salt,
        n=_SCRYPT_COST,
        r=_BLOCK_SIZE,
        p=_PARALLELISM,
        dklen=_HASH_BYTES,
    )


def _to_text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip('=')


def _from_text(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + '=' * (-len(text) % 4))
