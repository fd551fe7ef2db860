"""
HTTP for operators: the table, the status, the time line, health, metrics.
"""

from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import msgspec
from tornado.web import HTTPError

from hawthornpier.daemon._http import ApiHandler
from hawthornpier.daemon._status import status_document
from hawthornpier.events import (
    EventFilter,
    decode_events,
    encode_events,
    merge_timelines,
    render_html,
    render_text,
)
from hawthornpier.messages import Event
from hawthornpier.metrics import MetricsError
from hawthornpier.table import (
    DocumentError,
    TableError,
    delta_to_document,
    edits_from_documents,
    error_response,
    snapshot_to_document,
)

_DEFAULT_HISTORY_LIMIT = 100


class _TableEdit(msgspec.Struct):
    base_version: int
    edits: list[Any]


class _Approval(msgspec.Struct):
    member: str
    base_version: int


class _TableErrorHandler(ApiHandler):
    """
    Answers with the errors of the table.
    """

    def send_table_error(self, error: Exception) -> None:
        """
        Tell why the edit was not accepted.
        """
        response = error_response(error)
        self.send_json(response.body, response.status)


class TableHandler(_TableErrorHandler):
    """
    Shows and edits the table.
    """

    def get(self) -> None:
        """
        Return the rows in force here.
        """
        self.operator()
        self.send_json(snapshot_to_document(self.services.table.snapshot()))

    async def put(self) -> None:
        """
        Edit the table if it is still at the version that the operator saw.
        """
        member = self.operator()
        document = self.message(_TableEdit)
        try:
            edits = edits_from_documents(document.edits)
            delta = await self.services.table_sync.edit(
                edits,
                member=member,
                base_version=document.base_version,
            )
        except DocumentError as error:
            raise HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error
        except (TableError, ExceptionGroup) as error:
            self.send_table_error(error)
        else:
            self.send_json(
                {
                    'version': delta.version,
                    'delta': delta_to_document(delta),
                },
            )


class ApprovalHandler(_TableErrorHandler):
    """
    Records the approval of a new member.
    """

    async def post(self) -> None:
        """
        Approve the proposal that the operator saw.
        """
        member = self.operator()
        approval = self.message(_Approval)
        try:
            delta = await self.services.table_sync.approve(
                approval.member,
                member=member,
                base_version=approval.base_version,
            )
        except (TableError, ExceptionGroup) as error:
            self.send_table_error(error)
        else:
            self.send_json({'version': delta.version})


class HistoryHandler(_TableErrorHandler):
    """
    Shows the accepted edits.
    """

    async def get(self) -> None:
        """
        Return the edits after version *since*.
        """
        self.operator()
        since = self._integer_argument('since', 0)
        limit = self._integer_argument('limit', _DEFAULT_HISTORY_LIMIT)
        try:
            deltas = await self.services.table.history(since=since, limit=limit)
        except TableError as error:
            self.send_table_error(error)
            return
        self.send_json(
            {'deltas': [delta_to_document(delta) for delta in deltas]},
        )

    def _integer_argument(self, name: str, default: int) -> int:
        text = self.get_query_argument(name, str(default))
        if not text.isascii() or not text.isdigit() or len(text) > 9:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                f'{name} is not a number',
            )
        return int(text)


class StatusHandler(ApiHandler):
    """
    Reports what this process sees.
    """

    def get(self) -> None:
        """
        Return the status document.
        """
        self.operator()
        self.send_json(status_document(self.services))


class TimelineHandler(ApiHandler):
    """
    Merges the events of all processes.
    """

    async def get(self) -> None:
        """
        Return the time line as text, JSON or HTML.
        """
        self.operator()
        event_filter = EventFilter(
            shard=self.get_query_argument('shard', ''),
            worker_id=self.get_query_argument('worker_id', ''),
            task_id=self.get_query_argument('task_id', ''),
            request_id=self.get_query_argument('request_id', ''),
        )
        events = event_filter.select(await self._merged_events())
        render = _RENDERERS.get(self.get_query_argument('format', 'text'))
        if render is None:
            raise HTTPError(HTTPStatus.BAD_REQUEST, 'unknown format')
        content_type, content = render(events)
        self.set_header('Content-Type', content_type)
        self.finish(content)

    async def _merged_events(self) -> list[Event]:
        encoded = await self.services.peer_events()
        timelines = [decode_events(content) for content in encoded]
        return merge_timelines([self.services.recorder.events(), *timelines])


def _text(events: list[Event]) -> tuple[str, str | bytes]:
    return 'text/plain; charset=utf-8', render_text(events)


def _json(events: list[Event]) -> tuple[str, str | bytes]:
    return 'application/json', encode_events(events)


def _html(events: list[Event]) -> tuple[str, str | bytes]:
    return 'text/html; charset=utf-8', render_html(events)


_RENDERERS = MappingProxyType(
    {
        'text': _text,
        'json': _json,
        'html': _html,
    }
)


class HealthHandler(ApiHandler):
    """
    Tells that the process runs.
    """

    def get(self) -> None:
        """
        Answer as long as the loop turns.
        """
        self.send_json({'process_id': self.services.process_id})


class ReadyHandler(ApiHandler):
    """
    Tells the balancer whether to send callers here.
    """

    def get(self) -> None:
        """
        Answer with status 503 while starting and while leaving.
        """
        is_ready = self.services.is_ready()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        self.send_json({'is_ready': is_ready}, status)


class MetricsHandler(ApiHandler):
    """
    The scrape endpoint.
    """

    def get(self) -> None:
        """
        Return the metrics as Prometheus text.
        """
        try:
            content = self.services.metrics.render_prometheus()
        except MetricsError as error:
            raise HTTPError(HTTPStatus.NOT_FOUND, str(error)) from error
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(content)
