"""JSON Schemas of the items of a configuration document.

An error message shows the `description` of a field as its allowed value.
"""

import math
import typing

import jsonschema

from amaranthslip.configuration import document

Schema = dict[str, typing.Any]

# In Python `$` also matches before a trailing newline; `\Z` does not.
_NAME: Schema = {
    'type': 'string',
    'pattern': r'^[a-z0-9][a-z0-9._-]{0,62}\Z',
    'description': (
        '1 to 63 lower-case letters, digits, dots, underscores and hyphens, '
        'starting with a letter or digit'
    ),
}
_ADDRESS: Schema = {
    'type': 'string',
    'pattern': r'^([0-9.]+|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}\Z',
    'description': 'IP number and port, such as 10.0.0.5:8000',
}
_KEY: Schema = {
    'type': 'string',
    'pattern': r'^sha256:[0-9a-f]{64}\Z',
}
_FLAG: Schema = {'type': 'boolean', 'description': 'true or false'}


def _number(low: float, high: float, unit: str) -> Schema:
    return {
        'type': 'number',
        'exclusiveMinimum': low,
        'maximum': high,
        'description': f'{unit}: above {low:g}, at most {high:,.10g}',
    }


def _integer(low: int, high: int, unit: str) -> Schema:
    return {
        'type': 'integer',
        'minimum': low,
        'maximum': high,
        'description': f'{unit}: a whole number from {low} to {high}',
    }


def _choice(*allowed: str) -> Schema:
    return {
        'enum': list(allowed),
        'description': 'one of ' + ', '.join(allowed),
    }


def _list(item: Schema, max_items: int, description: str) -> Schema:
    return {
        'type': 'array',
        'items': item,
        'maxItems': max_items,
        'description': description,
    }


FIELDS: dict[str, dict[str, Schema]] = {
    'failure_domains': {'name': _NAME, 'region': _NAME},
    'services': {
        'name': _NAME,
        'kind': _choice(
            document.ServiceKind.MODEL, document.ServiceKind.PLAIN
        ),
        'prompt_weight': _number(0, 1000, 'generated tokens per prompt token'),
    },
    'backend_servers': {
        'name': _NAME,
        'service': _NAME,
        'address': _ADDRESS,
        'failure_domain': _NAME,
        'slots': _integer(1, 4096, 'concurrent requests'),
        'leaving': _FLAG,
        'checks_fencing': _FLAG,
    },
    'request_kinds': {
        'name': _NAME,
        'service': _NAME,
        'idempotent': _FLAG,
        'deadline_seconds': _number(0, 86400, 'seconds'),
        'estimate_tokens': _integer(1, 10000000, 'tokens'),
        'method': {
            'type': 'string',
            'pattern': r'^(\*|[A-Z]{1,16})\Z',
            'description': 'an HTTP method such as POST, or * for any',
        },
        'path_prefix': {
            'type': 'string',
            'pattern': r'^/[^\s?#]{0,255}\Z',
            'description': 'the start of a path, such as /bookings',
        },
    },
    'client_accounts': {
        'name': _NAME,
        'share': _number(0, 1000000, 'share, relative to the other accounts'),
        'services': _list(_NAME, 1000, 'a list of service names'),
        'keys': _list(
            _KEY,
            100,
            'a list of bearer key hashes, each sha256: and 64 lower-case '
            'hexadecimal digits',
        ),
        'queue_requests': _integer(1, 100000, 'maximum of queued requests'),
        'queue_seconds': _number(0, 86400, 'seconds'),
    },
    'operators': {
        'name': _NAME,
        'role': _choice('viewer', 'editor'),
        'password': {
            'type': 'string',
            'pattern': r'^(scrypt|pbkdf2):[^\s$]+\$[^\s$]+\$[0-9a-f]+\Z',
            'description': (
                'a salted hash as returned by '
                'werkzeug.security.generate_password_hash, never the password'
            ),
        },
    },
}

REQUIRED: dict[str, tuple[str, ...]] = {
    'failure_domains': ('name', 'region'),
    'services': ('name',),
    'backend_servers': ('name', 'service', 'address', 'failure_domain'),
    'request_kinds': ('name', 'service'),
    'client_accounts': ('name', 'services'),
    'operators': ('name', 'role', 'password'),
}


def _is_finite_number(checker: object, value: object) -> bool:
    """Return whether a value is a finite number.

    TOML and Python's JSON accept nan and inf. nan passes every range check.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return isinstance(value, int) or math.isfinite(value)


_Validator = jsonschema.validators.extend(
    jsonschema.Draft202012Validator,
    type_checker=jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        'number', _is_finite_number
    ),
)


def _item_schema(section: str) -> Schema:
    return {
        'type': 'object',
        'properties': FIELDS[section],
        'required': list(REQUIRED[section]),
        'additionalProperties': False,
    }


ITEM_VALIDATORS = {
    section: _Validator(_item_schema(section)) for section in FIELDS
}
FIELD_VALIDATORS = {
    section: {name: _Validator(schema) for name, schema in fields.items()}
    for section, fields in FIELDS.items()
}
