"""
HTTP responses to edits that were not accepted.
"""

from dataclasses import dataclass
from functools import singledispatch
from http import HTTPStatus
from typing import Any

from hawthornpier.table import _errors
from hawthornpier.table._documents import delta_to_document


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """
    An HTTP status and a JSON body, which always has the field *reason*.
    """

    status: HTTPStatus
    body: dict[str, Any]


@singledispatch
def error_response(error: Exception) -> ErrorResponse:
    """
    Return the response that reports *error* to an operator.
    """
    return _response(HTTPStatus.INTERNAL_SERVER_ERROR, error)


@error_response.register
def _conflict(error: _errors.EditConflictError) -> ErrorResponse:
    return _response(
        HTTPStatus.CONFLICT,
        error,
        version=error.version,
        deltas=[delta_to_document(delta) for delta in error.deltas],
    )


@error_response.register
def _not_permitted(error: _errors.NotPermittedError) -> ErrorResponse:
    return _response(HTTPStatus.FORBIDDEN, error)


@error_response.register
def _invalid_rows(error: _errors.RowErrorGroup) -> ErrorResponse:
    reasons = [str(mistake) for mistake in error.exceptions]
    return ErrorResponse(
        status=HTTPStatus.UNPROCESSABLE_ENTITY,
        body={'reason': error.message, 'errors': reasons},
    )


@error_response.register
def _empty(error: _errors.EmptyEditError) -> ErrorResponse:
    return _response(HTTPStatus.UNPROCESSABLE_ENTITY, error)


@error_response.register
def _unavailable(error: _errors.TableUnavailableError) -> ErrorResponse:
    return _response(HTTPStatus.SERVICE_UNAVAILABLE, error)


@error_response.register
def _unknown(error: _errors.EditOutcomeUnknownError) -> ErrorResponse:
    return _response(
        HTTPStatus.GATEWAY_TIMEOUT,
        error,
        edit_id=error.edit_id,
        version=error.version,
    )


def _response(
    status: HTTPStatus,
    error: Exception,
    **details: Any,
) -> ErrorResponse:
    return ErrorResponse(status=status, body={'reason': str(error), **details})
