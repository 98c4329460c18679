"""Decodes the configuration that the platform's operator keeps.

The operator's names are met here and nowhere else; what comes out is the
project's own document.
"""

import hashlib
import json
import typing

from amaranthslip.configuration import document
from amaranthslip.configuration import routes
from amaranthslip import errors

# Where the operator keeps the newest version, whole.
KEY = 'op/config'

_KINDS = {
    'idempotent': routes.RouteKind.IDEMPOTENT,
    'non_idempotent': routes.RouteKind.NON_IDEMPOTENT,
    # The operator's word for an answer that is a series of events. Whether
    # it may run again is said by `resumable` alone.
    'streaming': routes.RouteKind.STREAM,
}


def read_document(value: bytes) -> document.Document:
    """Return the document in a stored value.

    Raises
    ------
    ConfigurationDamaged
        It can't be read; the version in force stays.
    """
    try:
        values = json.loads(value)
        return _read_document(values)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.ConfigurationDamaged(
            f"the operator's configuration can not be read ({error!r}); the"
            ' version in force stays until the operator writes another'
        ) from None


def _read_document(values: dict[str, typing.Any]) -> document.Document:
    limits = values.get('limits') or {}
    services = [_read_service(each) for each in values.get('services', ())]
    names = [each.name for each in services]
    return document.Document(
        version=int(values['version']),
        services=services,
        client_accounts=[
            _read_account(each, names) for each in values.get('tenants', ())
        ],
        routes=[_read_route(each) for each in values.get('routes', ())],
        caller_limits=_read_limits(limits),
        token_rate=float(limits.get('tokens_per_s') or 0.0),
    )


def _read_service(values: dict[str, typing.Any]) -> document.OperatedService:
    # Only model services say anything of an engine.
    engine = values.get('engine')
    return document.OperatedService(
        name=str(values['name']),
        kind=(
            document.ServiceKind.PLAIN
            if engine is None
            else document.ServiceKind.MODEL
        ),
        # The tokens of running requests and of cached prompts together.
        cache_tokens=int((engine or {}).get('kv_capacity') or 0),
    )


def _read_account(
    values: dict[str, typing.Any], services: list[str]
) -> document.ClientAccount:
    return document.ClientAccount(
        name=str(values['name']),
        services=services,
        keys=[hash_key(str(key)) for key in values.get('api_keys', ())],
    )


def hash_key(key: str) -> str:
    """Return a bearer key as documents hold it.

    Hashed as it is decoded, so that no key stands in memory dumps, status
    pages or logs.
    """
    return 'sha256:' + hashlib.sha256(key.encode('utf-8')).hexdigest()


def _read_route(values: dict[str, typing.Any]) -> routes.Route:
    # One of two forms: a single service, or several with weights.
    split = values.get('traffic_split') or [
        {'service': values.get('service'), 'weight': 1}
    ]
    timeout_seconds = float(values['timeout_ms']) / 1000
    objective = float(values.get('target_latency_ms') or values['timeout_ms'])
    return routes.Route(
        name=str(values['name']),
        host=str(values['host']),
        prefix=str(values['prefix']),
        kind=_KINDS[values['kind']],
        destinations=[
            routes.Destination(
                service=str(each['service']), weight=float(each['weight'])
            )
            for each in split
        ],
        timeout_seconds=timeout_seconds,
        objective_seconds=objective / 1000,
        gap_seconds=float(values.get('target_gap_ms') or 0.0) / 1000,
        # Their word counts engines, the first among them; a rejected try
        # has not run and is not counted here.
        most_runs=max(1, int(values.get('max_attempts') or 1)),
        public=bool(values.get('public', False)),
        resumable=bool(values.get('resumable', False)),
    )


def _read_limits(values: dict[str, typing.Any]) -> routes.CallerLimits | None:
    if not values:
        return None
    return routes.CallerLimits(
        header_bytes=int(values['max_header_bytes']),
        body_bytes=int(values['max_body_bytes']),
        header_seconds=float(values['header_timeout_ms']) / 1000,
        idle_seconds=float(values['idle_timeout_ms']) / 1000,
    )
