"""
HTTP clients for the platform's table service, object store and host list.
"""

from hawthornpier.adapters._calls import (
    JsonHttpClient,
    PortErrors,
    quote_segment,
)
from hawthornpier.adapters._connections import ConnectionPool
from hawthornpier.messages import (
    HostListing,
    Row,
    Transaction,
    TransactionResult,
)
from hawthornpier.ports import StoreReplyLostError, StoreUnavailableError

_ERRORS = PortErrors(
    not_sent=StoreUnavailableError,
    refused=StoreUnavailableError,
    lost=StoreReplyLostError,
)


class _PlatformClient:
    """
    A client of one of the platform's services.

    Args:
        address: Host and port, or a URL without a path.
        deadline_ms: Time limit of a call.
        connection_limit: Maximum number of open connections.
        ca_certs: File with the trusted CA certificates, for HTTPS.
    """

    def __init__(
        self,
        address: str,
        *,
        deadline_ms: float = 2_000,
        connection_limit: int = 8,
        ca_certs: str = '',
    ) -> None:
        self._client = JsonHttpClient(
            ConnectionPool(
                address,
                connection_limit=connection_limit,
                ca_certs=ca_certs,
            ),
            errors=_ERRORS,
            deadline_ms=deadline_ms,
        )

    def close(self) -> None:
        """
        Close the connections.
        """
        self._client.close()


class HttpTableStore(_PlatformClient):
    """
    The `TableStore` port over HTTP.
    """

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """
        Apply *transaction* atomically if all of its checks hold.
        """
        return await self._client.post(
            '/v1/transactions',
            transaction,
            TransactionResult,
        )

    async def read(self, key: str) -> Row | None:
        """
        Return the row with this key, or None if it does not exist.
        """
        return await self._client.get(f'/v1/rows/{quote_segment(key)}', Row)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """
        Return all rows whose key starts with *prefix*, ordered by key.
        """
        rows = await self._client.get(
            f'/v1/rows?prefix={quote_segment(prefix)}',
            tuple[Row, ...],
        )
        return rows or ()


class HttpObjectStore(_PlatformClient):
    """
    The `ObjectStore` port over HTTP.
    """

    async def put(self, name: str, content: bytes) -> None:
        """
        Write an object, replacing any existing one of the same name.
        """
        await self._client.exchange('PUT', _object_path(name), content)

    async def get(self, name: str) -> bytes | None:
        """
        Return the content of an object, or None if it does not exist.
        """
        reply = await self._client.exchange('GET', _object_path(name))
        return None if reply.status == _NOT_FOUND else reply.body


class HttpHostList(_PlatformClient):
    """
    The `HostList` port over HTTP.
    """

    async def listing(self) -> HostListing:
        """
        Return the current list.
        """
        listing = await self._client.get('/v1/hosts', HostListing)
        if listing is None:
            raise StoreUnavailableError(
                'the platform returned no host list (status 404)'
            )
        return listing


_NOT_FOUND = 404


def _object_path(name: str) -> str:
    return f'/v1/objects/{quote_segment(name)}'
