"""
Errors of the HTTP layer, which the port adapters convert to port errors.
"""

from hawthornpier.errors import HawthornpierError


class AdapterError(HawthornpierError):
    """
    An HTTP exchange failed, or a message was invalid.
    """


class NotSentError(AdapterError):
    """
    No byte of the request was sent.
    """


class CouldNotConnectError(NotSentError):
    """
    No connection was made: nothing listens on the port, or no route exists.
    """


class ReplyLostError(AdapterError):
    """
    No complete reply came; the request may have arrived.
    """


class ConnectionEndedError(ReplyLostError):
    """
    The connection ended before the reply was complete.
    """


class MessageError(AdapterError):
    """
    A body is not valid JSON of the expected message type.
    """


class SignatureError(AdapterError):
    """
    A message has no valid signature, or a timestamp far from the local clock.
    """
