"""Decodes the configuration that the platform's operator maintains.

Only this module uses the operator's field names. It converts them into the
project's own document.
"""

import hashlib
import math
import typing

from amaranthslip.configuration import document
from amaranthslip.configuration import routes
from amaranthslip import errors
from amaranthslip.platform import values as stored_values

# The key that holds the operator's complete latest version.
KEY = 'op/config'

_KINDS = {
    'idempotent': routes.RouteKind.IDEMPOTENT,
    'non_idempotent': routes.RouteKind.NON_IDEMPOTENT,
    # An event stream. Only `resumable` states whether such a request may run
    # again.
    'streaming': routes.RouteKind.STREAM,
}


def read_document(value: bytes) -> document.Document:
    """Return the document that a stored value encodes.

    Raises
    ------
    ConfigurationDamaged
        The value can't be decoded. The version in force remains valid.
    """
    try:
        return stored_values.decode(value, _read_document)
    except errors.EntryUnreadable as error:
        raise errors.ConfigurationDamaged(
            f"the operator's configuration can't be decoded ({error}); the"
            ' current version stays in force until the operator writes a'
            ' valid one'
        ) from None


def _read_document(values: dict[str, typing.Any]) -> document.Document:
    limits = values.get('limits') or {}
    services = [_read_service(each) for each in values.get('services', ())]
    names = [each.name for each in services]
    return document.Document(
        version=stored_values.read_count(values['version']),
        services=services,
        client_accounts=[
            _read_account(each, names) for each in values.get('tenants', ())
        ],
        routes=[_read_route(each) for each in values.get('routes', ())],
        caller_limits=_read_limits(limits),
        token_rate=stored_values.read_number(
            limits.get('tokens_per_s') or 0.0
        ),
        # An empty list is that of an operator who took all keys away.
        keys_required='tenants' in values,
    )


def _read_service(values: dict[str, typing.Any]) -> document.OperatedService:
    # Only model services have an `engine` table.
    engine = values.get('engine')
    cold_start_seconds = float(values.get('cold_start_s') or 0.0)
    cold_rate = float(values.get('cold_per_s') or 0.0)
    if not (0 <= cold_start_seconds < math.inf and 0 <= cold_rate < math.inf):
        raise ValueError(
            f'service {values["name"]}: cold_start_s and cold_per_s must be'
            ' finite and not negative'
        )
    return document.OperatedService(
        name=str(values['name']),
        kind=(
            document.ServiceKind.PLAIN
            if engine is None
            else document.ServiceKind.MODEL
        ),
        # The capacity is shared by running requests and cached prompts.
        cache_tokens=int((engine or {}).get('kv_capacity') or 0),
        cold_start_seconds=cold_start_seconds,
        cold_rate=cold_rate,
        max_connections=_read_connections(values),
    )


def _read_connections(values: dict[str, typing.Any]) -> int:
    """Return a service's `max_connections`; 0 if it is missing or invalid.

    The rest of the configuration is valid without it.
    """
    most = values.get('max_connections')
    if isinstance(most, bool) or not isinstance(most, int):
        return 0
    return max(0, most)


def _read_account(
    values: dict[str, typing.Any], services: list[str]
) -> document.OperatedAccount:
    return document.OperatedAccount(
        name=str(values['name']),
        services=services,
        keys=[hash_key(str(key)) for key in values.get('api_keys', ())],
        regions=_read_regions(values),
    )


def hash_key(key: str) -> str:
    """Return the hash that a document stores for a bearer key.

    Keys are hashed during decoding, so that no memory dump, status page or
    log contains a key in plain text.
    """
    return 'sha256:' + hashlib.sha256(key.encode('utf-8')).hexdigest()


def _read_route(values: dict[str, typing.Any]) -> routes.Route:
    # A route names either a single service or several weighted services.
    split = values.get('traffic_split') or [
        {'service': values.get('service'), 'weight': 1}
    ]
    timeout = stored_values.read_number(values['timeout_ms'])
    objective = stored_values.read_number(
        values.get('target_latency_ms') or timeout
    )
    return routes.Route(
        name=str(values['name']),
        host=str(values['host']),
        prefix=str(values['prefix']),
        kind=_KINDS[values['kind']],
        destinations=[
            routes.Destination(
                service=str(each['service']),
                weight=stored_values.read_number(each['weight']),
            )
            for each in split
        ],
        timeout_seconds=timeout / 1000,
        objective_seconds=objective / 1000,
        gap_seconds=stored_values.read_number(
            values.get('target_gap_ms') or 0.0
        )
        / 1000,
        # `max_attempts` is the number of engines that may run the request,
        # including the first. A rejected try did not run and is not counted.
        max_runs=max(1, int(values.get('max_attempts') or 1)),
        public=bool(values.get('public', False)),
        resumable=bool(values.get('resumable', False)),
        regions=_read_regions(values),
    )


def _read_regions(values: dict[str, typing.Any]) -> frozenset[str] | None:
    regions = values.get('allowed_regions')
    if not regions:
        return None
    if not isinstance(regions, list) or not all(
        isinstance(each, str) for each in regions
    ):
        raise ValueError(
            f'{values["name"]}: allowed_regions must be a list of names'
        )
    return frozenset(regions)


def _read_limits(values: dict[str, typing.Any]) -> routes.CallerLimits | None:
    if not values:
        return None
    return routes.CallerLimits(
        header_bytes=int(values['max_header_bytes']),
        body_bytes=int(values['max_body_bytes']),
        header_seconds=stored_values.read_number(values['header_timeout_ms'])
        / 1000,
        idle_seconds=stored_values.read_number(values['idle_timeout_ms'])
        / 1000,
    )
