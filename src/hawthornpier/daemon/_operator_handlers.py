"""
HTTP handlers for operators: table, status, timeline, health and metrics.
"""

import contextlib
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import msgspec
from tornado.web import HTTPError

from hawthornpier.daemon._http import ApiHandler
from hawthornpier.daemon._status import status_document
from hawthornpier.events import (
    EventFilter,
    EventsDecodeError,
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
    Sends errors of the table as error responses.
    """

    def send_table_error(self, error: Exception) -> None:
        """
        Send the response that belongs to an error of the table.
        """
        response = error_response(error)
        self.send_json(response.body, response.status)


class TableHandler(_TableErrorHandler):
    """
    Shows and edits the table.
    """

    def get(self) -> None:
        """
        Send the rows of the table version that this process has.
        """
        self.authenticate_operator()
        self.send_json(snapshot_to_document(self.services.table.snapshot()))

    async def put(self) -> None:
        """
        Edit the table if its version is still the base version of the edit.
        """
        member = self.authenticate_operator()
        document = self.decode_body(_TableEdit)
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
    Records the approval of a proposal.
    """

    async def post(self) -> None:
        """
        Approve the proposal for a member as it was at the base version.
        """
        member = self.authenticate_operator()
        approval = self.decode_body(_Approval)
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
    Shows the accepted edits of the table.
    """

    async def get(self) -> None:
        """
        Send the edits after version *since*, at most *limit* of them.
        """
        self.authenticate_operator()
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
                f'{name} must be a non-negative integer of at most 9 digits',
            )
        return int(text)


class StatusHandler(ApiHandler):
    """
    Reports the state of the cluster as this process knows it.
    """

    def get(self) -> None:
        """
        Send the status document.
        """
        self.authenticate_operator()
        self.send_json(status_document(self.services))


class TimelineHandler(ApiHandler):
    """
    Merges the events of all processes.
    """

    async def get(self) -> None:
        """
        Send the timeline as text, JSON or HTML.

        It omits the events of peers whose events are unreadable.

        The query arguments *shard*, *worker_id*, *task_id* and *request_id*
        filter the events.
        """
        self.authenticate_operator()
        event_filter = EventFilter(
            shard=self.get_query_argument('shard', ''),
            worker_id=self.get_query_argument('worker_id', ''),
            task_id=self.get_query_argument('task_id', ''),
            request_id=self.get_query_argument('request_id', ''),
        )
        events = event_filter.select(await self._merged_events())
        render = _RENDERERS.get(self.get_query_argument('format', 'text'))
        if render is None:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                'format must be text, json or html',
            )
        content_type, content = render(events)
        self.set_header('Content-Type', content_type)
        self.finish(content)

    async def _merged_events(self) -> list[Event]:
        encoded = await self.services.peer_events()
        timelines = []
        for content in encoded:
            # A peer with a newer version of the program may have events of a
            # kind that this one does not know.
            with contextlib.suppress(EventsDecodeError):
                timelines.append(decode_events(content))
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
    Reports that the process is running.
    """

    def get(self) -> None:
        """
        Send the id of the process; any response shows that it is running.
        """
        self.send_json({'process_id': self.services.process_id})


class ReadyHandler(ApiHandler):
    """
    Reports to the load balancer whether to send requests to this process.
    """

    def get(self) -> None:
        """
        Send status 200 if the process is ready and status 503 otherwise.

        A process is not ready while its table is unconfirmed, as after its
        start, and while it is leaving.
        """
        is_ready = self.services.is_ready()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        self.send_json({'is_ready': is_ready}, status)


class MetricsHandler(ApiHandler):
    """
    Serves the metrics to Prometheus.
    """

    def get(self) -> None:
        """
        Send the metrics in the text format of Prometheus.
        """
        try:
            content = self.services.metrics.render_prometheus()
        except MetricsError as error:
            raise HTTPError(HTTPStatus.NOT_FOUND, str(error)) from error
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(content)
