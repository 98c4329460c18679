"""The API for automation: JSON over the operators' port."""

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

# 25,000 client accounts take 6 MB as JSON.
MOST_BODY_BYTES = 64 * 1024 * 1024


def answer_json(
    content: object, status: int = 200, **headers: str
) -> wrappers.Response:
    """Return an answer with a JSON body."""
    response = wrappers.Response(
        json.dumps(content, default=str), status, mimetype='application/json'
    )
    for name, value in headers.items():
        response.headers[name.replace('_', '-')] = value
    return response


def read_configuration(holder: holder_module.Holder) -> wrappers.Response:
    """Answer with the document in force; its version is the ETag."""
    whole = holder.document
    response = answer_json(drafts.export_document(whole))
    response.set_etag(str(whole.version))
    return response


def write_configuration(
    request: wrappers.Request,
    operator: document.Operator,
    holder: holder_module.Holder,
    submission: submission_module.Submission,
) -> wrappers.Response:
    """Submit the request's document on top of the version in `If-Match`."""
    base = _read_base(request)
    if base is None:
        return answer_json(
            {
                'error': 'base_missing',
                'message': 'send If-Match with the ETag of the version that '
                'the document was made from, such as If-Match: "41"',
            },
            428,
        )
    try:
        values = json.loads(request.get_data())
    except (ValueError, RecursionError) as error:
        return answer_json(
            {
                'error': 'no_json',
                'message': f'the body is no JSON ({error}): send the '
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
        return answer_error(error)
    response = answer_json(parts.export_item(snapshot.manifest.accepted))
    response.set_etag(str(snapshot.version))
    return response


def _read_base(request: wrappers.Request) -> int | None:
    versions = list(request.if_match.as_set())
    if len(versions) != 1 or not versions[0].isdecimal():
        return None
    return int(versions[0])


def read_history(
    submission: submission_module.Submission,
) -> wrappers.Response:
    """Answer with the accepted versions, newest first."""
    try:
        known = submission.load_history()
    except errors.ConfigurationRefused as error:
        return answer_error(error)
    return answer_json([_export_acceptance(each) for each in known])


def _export_acceptance(each: manifests.Acceptance) -> dict[str, typing.Any]:
    return parts.export_item(each)


def export_difference(
    difference: differences.Difference | None,
) -> list[dict[str, typing.Any]] | None:
    """Return a difference as values for JSON, None where it isn't known."""
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
def answer_error(error: Exception) -> wrappers.Response:
    """Answer with what became of a submission that was not accepted."""
    raise error


@answer_error.register
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
        'message': 'nothing was applied: mend every mistake and submit again',
        'mistakes': mistakes,
    }
    return answer_json(content, 422)


@answer_error.register
def _(error: errors.ConfigurationConflict) -> wrappers.Response:
    content = {
        'error': 'conflict',
        'message': str(error),
        'base': error.base,
        'current': error.current,
        'difference': export_difference(error.difference),
        'theirs': export_difference(error.theirs),
    }
    return answer_json(content, 409)


@answer_error.register
def _(error: errors.ConfigurationRefused) -> wrappers.Response:
    content = {
        'error': 'refused',
        'reason': error.reason,
        'message': str(error),
    }
    return answer_json(content, 503, Retry_After='5')


@answer_error.register
def _(error: errors.ConfigurationUnknown) -> wrappers.Response:
    content = {
        'error': 'unknown',
        'message': str(error),
        'submission': error.submission,
        'version': error.version,
    }
    return answer_json(content, 504)
