"""
HTTP requests of the operators and of the load balancer's readiness probe.
"""

import asyncio
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from demo.deployment import OPERATOR_KEYS
from demo.processes import DemoError
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from hawthornpier.messages import JobSpec, JobView
from hawthornpier.table import PutRow, edit_to_document

# The prefix of job ids whose tasks are divided among the demo's three shards;
# 7 is the bit set of the shards (0b111).
_ALL_SHARDS_PREFIX = 'parts-7'
CONFLICT = 409
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """
    The status and the JSON document of an HTTP response.

    Status 0 means that no response was received.
    """

    status: int
    document: Any

    @property
    def is_ok(self) -> bool:
        """
        Return whether the entry process carried out the request.
        """
        return 200 <= self.status < 300


async def call(
    address: str,
    method: str,
    path: str,
    *,
    member: str,
    document: object = None,
) -> Reply:
    """
    Send one HTTP request with the key of *member*'s operator.
    """
    request = HTTPRequest(
        f'http://{address}{path}',
        method=method,
        headers={'X-Member': member, 'X-Operator-Key': OPERATOR_KEYS[member]},
        body=None if document is None else msgspec.json.encode(document),
        request_timeout=10,
    )
    try:
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
    except (OSError, HTTPError) as error:
        # The entry process was killed before it had sent the whole reply.
        return Reply(status=0, document={'reason': str(error)})
    if response.code == 599:
        return Reply(status=0, document={'reason': str(response.error)})
    return Reply(
        status=response.code,
        document=msgspec.json.decode(response.body),
    )


class Operators:
    """
    Sends requests of both members' operators to any reachable entry process.

    Args:
        addresses: Addresses of the entry processes, in the order in which
            they are tried.
    """

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = tuple(addresses)

    async def send_request(
        self,
        method: str,
        path: str,
        *,
        member: str,
        document: object = None,
    ) -> Reply:
        """
        Send a request to one entry process after the other until one replies.
        """
        reply = Reply(
            status=0, document={'reason': 'there is no entry process'}
        )
        for address in self._addresses:
            reply = await call(
                address,
                method,
                path,
                member=member,
                document=document,
            )
            if reply.status:
                break
        return reply

    async def edit(
        self,
        edits: Sequence[PutRow],
        *,
        member: str,
        base_version: int,
    ) -> Reply:
        """
        Edit the table, based on the version that the operator last read.
        """
        return await self.send_request(
            'PUT',
            '/v1/table',
            member=member,
            document={
                'base_version': base_version,
                'edits': [edit_to_document(edit) for edit in edits],
            },
        )

    async def approve(self, subject: str, *, member: str, version: int) -> int:
        """
        Approve the proposed member *subject* and return the new version.
        """
        reply = await self.send_request(
            'POST',
            '/v1/table/approvals',
            member=member,
            document={'member': subject, 'base_version': version},
        )
        return accepted_version(reply)

    async def submit(self, spec: JobSpec) -> JobView:
        """
        Submit a job, and repeat it with the same id until it is accepted.

        While a shard has no owner, the part of the job that belongs to this
        shard is not accepted.

        Raises:
            DemoError: The job was not accepted after 20 attempts.
        """
        job_id = f'{_ALL_SHARDS_PREFIX}~{uuid.uuid4().hex[:16]}'
        document = {**msgspec.to_builtins(spec), 'job_id': job_id}
        for _ in range(20):
            reply = await self.send_request(
                'POST',
                '/v1/jobs',
                member=spec.member,
                document=document,
            )
            if reply.is_ok:
                return msgspec.convert(reply.document, JobView)
            await asyncio.sleep(0.5)
        raise DemoError(f'the job was not accepted: {reply.document}')

    async def show(self, view: JobView) -> JobView | None:
        """
        Return the current view of the job, or None if the request failed.

        The request fails, for example, while the owner of the job changes.
        """
        reply = await self.send_request(
            'GET',
            f'/v1/jobs/{view.job_id}',
            member=view.spec.member,
        )
        if not reply.is_ok:
            return None
        return msgspec.convert(reply.document, JobView)


def accepted_version(reply: Reply) -> int:
    """
    Return the table version in the reply.

    Raises:
        DemoError: The request was not successful.
    """
    if not reply.is_ok:
        raise DemoError(f'a request for the table failed: {reply.document}')
    return int(reply.document['version'])
