"""JSON API for automation on the operators' port."""

import functools
import json
import typing

from werkzeug import wrappers

from amaranthslip.configuration import differences
from amaranthslip.configuration import document
from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import manifests
from amaranthslip.configuration import parts
from amaranthslip.configuration import submission as submission_module
from amaranthslip.console import drafts
from amaranthslip import errors

# A document with 25,000 client accounts takes 6 MB as JSON.
MAX_BODY_BYTES = 64 * 1024 * 1024


def make_json_response(
    content: object, status: int = 200, **headers: str
) -> wrappers.Response:
    """Return a response with a JSON body."""
    response = wrappers.Response(
        json.dumps(content, default=str), status, mimetype='application/json'
    )
    for name, value in headers.items():
        response.headers[name.replace('_', '-')] = value
    return response


def read_configuration(holder: holder_module.Holder) -> wrappers.Response:
    """Return the document in force, with its version as the ETag."""
    current = holder.document
    response = make_json_response(drafts.export_document(current))
    response.set_etag(str(current.version))
    return response


def write_configuration(
    request: wrappers.Request,
    operator: document.Operator,
    holder: holder_module.Holder,
    submission: submission_module.Submission,
) -> wrappers.Response:
    """Submit the document in the body, based on the `If-Match` version."""
    base = _parse_base_version(request)
    if base is None:
        return make_json_response(
            {
                'error': 'base_missing',
                'message': 'send If-Match with the ETag of the version that '
                'the document is based on, such as If-Match: "41"',
            },
            428,
        )
    try:
        values = json.loads(request.get_data())
    except (ValueError, RecursionError) as error:
        return make_json_response(
            {
                'error': 'no_json',
                'message': f'the body is not valid JSON ({error}): send the '
                'document as application/json',
            },
            400,
        )
    drafts.restore_passwords(values, holder.document)
    try:
        snapshot = submission.submit(
            values, base=base, author=operator.name, source='request'
        )
    except (errors.AmaranthslipError, errors.SettingsInvalid) as error:
        return make_error_response(error)
    response = make_json_response(
        parts.export_item(snapshot.manifest.accepted)
    )
    response.set_etag(str(snapshot.version))
    return response


def _parse_base_version(request: wrappers.Request) -> int | None:
    versions = list(request.if_match.as_set())
    if len(versions) != 1 or not versions[0].isdecimal():
        return None
    return int(versions[0])


def read_history(
    submission: submission_module.Submission,
) -> wrappers.Response:
    """Return the accepted versions, newest first."""
    try:
        acceptances = submission.load_history()
    except errors.ConfigurationRefused as error:
        return make_error_response(error)
    return make_json_response(
        [_export_acceptance(each) for each in acceptances]
    )


def _export_acceptance(
    acceptance: manifests.Acceptance,
) -> dict[str, typing.Any]:
    return parts.export_item(acceptance)


def export_difference(
    difference: differences.Difference | None,
) -> list[dict[str, typing.Any]] | None:
    """Return a difference as JSON values, or None if it is not known."""
    if difference is None:
        return None
    return [
        {
            'section': change.section,
            'name': change.name,
            'kind': change.kind,
            'fields': [parts.export_item(field) for field in change.fields],
        }
        for change in difference.changes
    ]


@functools.singledispatch
def make_error_response(error: Exception) -> wrappers.Response:
    """Return the response for a submission that was not accepted."""
    raise error


@make_error_response.register
def _(error: errors.SettingsInvalid) -> wrappers.Response:
    mistakes = [
        {
            'path': mistake.key,
            'found': repr(mistake.found),
            'allowed': mistake.allowed,
        }
        for mistake in error.exceptions
        if isinstance(mistake, errors.SettingError)
    ]
    content = {
        'error': 'invalid',
        'message': 'nothing was applied: correct every mistake and resubmit',
        'mistakes': mistakes,
    }
    return make_json_response(content, 422)


@make_error_response.register
def _(error: errors.ConfigurationConflict) -> wrappers.Response:
    content = {
        'error': 'conflict',
        'message': str(error),
        'base': error.base,
        'current': error.current,
        'difference': export_difference(error.difference),
        'theirs': export_difference(error.changes_since_base),
    }
    return make_json_response(content, 409)


@make_error_response.register
def _(error: errors.ConfigurationRefused) -> wrappers.Response:
    content = {
        'error': 'refused',
        'reason': error.reason,
        'message': str(error),
    }
    return make_json_response(content, 503, Retry_After='5')


@make_error_response.register
def _(error: errors.ConfigurationOutcomeUnknown) -> wrappers.Response:
    content = {
        'error': 'unknown',
        'message': str(error),
        'submission': error.submission,
        'version': error.version,
    }
    return make_json_response(content, 504)
