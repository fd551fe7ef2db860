"""
The HTTP routes of the daemon.
"""

from tornado.web import Application

from hawthornpier.daemon._caller_handlers import (
    JobHandler,
    JobsHandler,
    ServiceHandler,
)
from hawthornpier.daemon._http import UnknownPathHandler
from hawthornpier.daemon._operator_handlers import (
    ApprovalHandler,
    HealthHandler,
    HistoryHandler,
    MetricsHandler,
    ReadyHandler,
    StatusHandler,
    TableHandler,
    TimelineHandler,
)
from hawthornpier.daemon._peer_handlers import (
    ForwardHandler,
    HeartbeatHandler,
    JobCancelHandler,
    JobShowHandler,
    JobSubmitHandler,
    PeerEventsHandler,
)
from hawthornpier.daemon._services import Services

_ROUTES = (
    ('/v1/services/([^/]+)/requests', ServiceHandler),
    ('/v1/jobs', JobsHandler),
    ('/v1/jobs/([^/]+)', JobHandler),
    ('/v1/table', TableHandler),
    ('/v1/table/history', HistoryHandler),
    ('/v1/table/approvals', ApprovalHandler),
    ('/v1/status', StatusHandler),
    ('/v1/timeline', TimelineHandler),
    ('/healthz', HealthHandler),
    ('/readyz', ReadyHandler),
    ('/metrics', MetricsHandler),
    ('/peer/v1/heartbeat', HeartbeatHandler),
    ('/peer/v1/forward', ForwardHandler),
    ('/peer/v1/jobs/submit', JobSubmitHandler),
    ('/peer/v1/jobs/show', JobShowHandler),
    ('/peer/v1/jobs/cancel', JobCancelHandler),
    ('/peer/v1/events', PeerEventsHandler),
)


def make_application(services: Services) -> Application:
    """
    Return the tornado application with all routes of the daemon.
    """
    return Application(
        [
            (route, handler, {'services': services})
            for route, handler in _ROUTES
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args={'services': services},
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: object) -> None:
    """
    Write no access log; the metrics count the requests.
    """
