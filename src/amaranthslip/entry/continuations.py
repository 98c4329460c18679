"""Keeps each stream at the software version that began it."""

import logging

import xxhash

from amaranthslip.configuration import document
from amaranthslip.entry import routed
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip.requests import stream_versions

_LOG = logging.getLogger(__name__)

# Retry-After in seconds for a stream whose version is not known here: the
# instances that know it may not have answered.
_UNKNOWN_RETRY_SECONDS = 0.3


class Continuations:
    """Determines the version of streams that callers take up again.

    Parameters
    ----------
    versions : StreamVersions
        At which versions streams began, known to all instances.
    metrics : Metrics
        Counts `streams_taken_up`.
    """

    __slots__ = ('_versions', '_metrics')

    def __init__(
        self,
        versions: stream_versions.StreamVersions,
        metrics: metrics_.Metrics,
    ) -> None:
        self._versions = versions
        self._metrics = metrics

    def bind(self, call: routed.RoutedCall) -> None:
        """Bind a call to the version of the stream that it takes up, if any.

        Raises
        ------
        RequestRefused
            The version is not known; the request was not run.
        """
        if not call.route.streams:
            return
        attempt = call.facts.resumed_attempt
        if not attempt and not call.facts.resume_after:
            return
        request = call.placement_request
        record = self._versions.find(
            attempt, request.service, request_key=_build_request_key(call)
        )
        if record is None and not call.facts.resume_after:
            # The caller has no event yet, so that any version may begin.
            return
        if record is None:
            self._metrics.count('streams_taken_up', 'unknown')
            raise errors.RequestRefused(
                'version_unknown',
                'no instance that answered knows the software version that'
                ' began this stream, and another version can not go on with'
                ' it; try again, or request the whole stream anew',
                retry_after=_UNKNOWN_RETRY_SECONDS,
            )
        self._metrics.count('streams_taken_up', 'known')
        if any(
            each.service == record.service for each in call.route.destinations
        ):
            request.service = record.service
        request.software_version = record.software_version
        # Not if it was inferred: any request may name an event, and would be
        # admitted beyond the share of its account.
        request.admitted_before = not record.inferred
        _LOG.info(
            'stream_taken_up',
            extra={
                'request_id': call.request_id,
                'resumes': attempt,
                'resumed_after': call.facts.resume_after,
                'software_version': record.software_version,
            },
        )

    def note_begun(
        self, call: routed.RoutedCall, server: document.ListedServer
    ) -> None:
        """Bind a call to the server that sends its caller the first event."""
        call.placement_request.software_version = server.software_version
        if call.route.resumable:
            self._versions.note_begun(
                _find_first_attempt(call),
                server.service,
                server.software_version,
                request_key=_build_request_key(call),
            )

    def note_completed(
        self, call: routed.RoutedCall, server: document.ListedServer
    ) -> None:
        """Note that the caller got the end of its stream."""
        if call.route.resumable:
            self._versions.note_completed(
                _find_first_attempt(call),
                server.service,
                server.software_version,
                request_key=_build_request_key(call),
            )


def _find_first_attempt(call: routed.RoutedCall) -> str:
    """Return the attempt that brought the first event; '' if unknown."""
    attempt = call.facts.resumed_attempt
    if not attempt and not call.facts.resume_after:
        attempt = call.request_id
    return attempt


def _build_request_key(call: routed.RoutedCall) -> str:
    """Return a key that all attempts at a request have in common.

    Requests without a prompt have none: equal ones are common.
    """
    prompt = call.placement_request.prompt
    if prompt is None or not prompt.prefix_keys:
        return ''
    digest = xxhash.xxh3_128(call.fingerprint)
    for number in (
        prompt.prefix_keys[-1],
        prompt.prompt_tokens,
        prompt.max_output_tokens,
    ):
        digest.update(b'%d,' % number)
    return stream_versions.build_request_key(digest.digest())
