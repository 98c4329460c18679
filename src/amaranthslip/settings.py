"""The settings of one process, read from TOML and checked whole.

A process learns its addresses and its failure domain from here; everything
that operators change while the fleet runs is in the configuration document.
"""

import pathlib
import tomllib
import typing

import jsonschema

from amaranthslip import errors

_ADDRESS = {
    'type': 'string',
    'pattern': r'^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$',
    'description': 'IP number and port, such as 10.0.0.5:7000',
}
_OPTIONAL_ADDRESS = {
    'type': 'string',
    'default': '',
    'pattern': r'^([0-9A-Fa-f.:\[\]]+:[0-9]{1,5})?$',
    'description': 'IP number and port, or nothing',
}
_URL = {
    'type': 'string',
    'pattern': r'^https?://[^/]+',
    'description': 'an http or https URL',
}
_NAME = {
    'type': 'string',
    'pattern': r'^[a-z0-9][a-z0-9.-]{0,62}$',
    'description': 'lower-case letters, digits, dots and hyphens',
}


def _number(
    default: float, low: float, high: float, unit: str
) -> dict[str, typing.Any]:
    return {
        'type': 'number',
        'default': default,
        'minimum': low,
        'maximum': high,
        'description': f'{unit}, {low:g} to {high:g}',
    }


def _integer(
    default: int, low: int, high: int, unit: str
) -> dict[str, typing.Any]:
    return _number(default, low, high, unit) | {'type': 'integer'}


def _choice(default: str, *allowed: str) -> dict[str, typing.Any]:
    return {
        'enum': list(allowed),
        'default': default,
        'description': 'one of ' + ', '.join(allowed),
    }


def _required(schema: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return schema | {'required_here': True}


# Section, key, schema. Seconds and bytes everywhere; each default is what
# docs/OPERATIONS.md explains.
SECTIONS: dict[str, dict[str, dict[str, typing.Any]]] = {
    'instance': {
        'name': _required(_NAME),
        'failure_domain': _required(_NAME),
        'region': _required(_NAME),
    },
    'addresses': {
        'callers': _required(_ADDRESS),
        'operators': _required(_ADDRESS),
        'peers': _required(_ADDRESS),
        'readiness': _OPTIONAL_ADDRESS,
    },
    'platform': {
        'key_value': _required(_URL),
        'configuration': _choice('own', 'own', 'operator'),
        'timeout_seconds': _number(2.0, 0.05, 30, 'seconds'),
        'poll_seconds': _number(2.0, 0.1, 30, 'seconds'),
        'list_interval_seconds': _number(5.0, 0.1, 300, 'seconds'),
        'prefix': {
            'type': 'string',
            'default': '/amaranthslip/',
            'description': 'a key prefix that ends with a slash',
            'pattern': '/$',
        },
    },
    'dispatch': {
        'policy': _choice('fleet', 'fleet', 'single', 'local'),
        'homes': _integer(8, 1, 64, 'dispatchers for each client account'),
        'widen_seconds': _number(0.05, 0.005, 5, 'seconds'),
        'charge_tokens': _integer(500, 1, 100000, 'tokens'),
        'commit_tokens': _integer(400, 1, 100000, 'tokens'),
        'digest_seconds': _number(0.5, 0.05, 30, 'seconds'),
        'rebuild_seconds': _number(0.5, 0.0, 30, 'seconds'),
        'prefix_routing': {
            'type': 'boolean',
            'default': True,
            'description': 'true or false',
        },
    },
    'limits': {
        'body_bytes': _integer(4194304, 1024, 268435456, 'bytes'),
        'header_seconds': _number(10.0, 0.1, 120, 'seconds'),
        'body_seconds': _number(30.0, 0.1, 600, 'seconds'),
        'connections': _integer(4000, 1, 60000, 'connections'),
        'memory_megabytes': _number(0, 0, 1048576, 'megabytes'),
        'header_bytes': _integer(32768, 1024, 1048576, 'bytes'),
        'keep_alive_seconds': _number(75.0, 0.1, 3600, 'seconds'),
        'write_seconds': _number(30.0, 0.1, 600, 'seconds'),
        'answer_bytes': _integer(67108864, 1024, 1073741824, 'bytes'),
        # Events of streams must be passed on within some 0.12 to 0.2 s, and
        # first events come within 0.4 s or are late: what is accepted further
        # behind comes out late, and makes what is under way late, too.
        'behind_seconds': _number(0.08, 0.01, 3600, 'seconds'),
    },
    'backends': {
        'connect_seconds': _number(1.0, 0.05, 30, 'seconds'),
        'first_byte_seconds': _number(60.0, 0.1, 3600, 'seconds'),
        'idle_seconds': _number(30.0, 0.1, 3600, 'seconds'),
        'load_interval_seconds': _number(1.0, 0.1, 60, 'seconds'),
        'eject_seconds': _number(2.0, 0.1, 600, 'seconds'),
        'eject_most_seconds': _number(60.0, 1, 3600, 'seconds'),
        'eject_fraction': _number(0.5, 0, 1, 'fraction of a service'),
        'retry_ratio': _number(0.2, 0, 1, 'retries for each request'),
        'lost_seconds': _number(10.0, 0.1, 600, 'seconds'),
    },
    # What a platform's operator promises its users of all instances together.
    'bounds': {
        'fail_closed': {
            'type': 'boolean',
            'default': True,
            'description': 'true or false',
        },
        'revoke_milliseconds': _number(5000, 100, 3600000, 'milliseconds'),
        'apply_milliseconds': _number(2000, 100, 3600000, 'milliseconds'),
        'drain_milliseconds': _number(2000, 100, 3600000, 'milliseconds'),
        'share_window_seconds': _number(4.0, 0.1, 600, 'seconds'),
        'retry_ratio': _number(0.2, 0, 10, 'retries for each request'),
        'retry_window_seconds': _number(10.0, 0.1, 600, 'seconds'),
        'retry_slack': _number(50.0, 0, 100000, 'retries'),
    },
    'members': {
        'probe_seconds': _number(1.0, 0.05, 60, 'seconds'),
        'probe_timeout_seconds': _number(0.5, 0.02, 60, 'seconds'),
        'suspect_seconds': _number(3.0, 0.1, 300, 'seconds'),
        'indirect_probes': _integer(3, 0, 16, 'instances'),
    },
    'claims': {
        'shards': _integer(16, 1, 4096, 'values'),
        'window_seconds': _number(86400.0, 1, 604800, 'seconds'),
        'group_seconds': _number(0.02, 0.0, 5, 'seconds'),
    },
    'links': {
        'queue_messages': _integer(1000, 10, 100000, 'messages'),
        'secret': {
            'type': 'string',
            'default': '',
            'maxLength': 256,
            'description': 'a text that all instances share',
        },
        'dial_seconds': _number(2.0, 0.05, 60, 'seconds'),
        'lost_seconds': _number(6.0, 0.1, 600, 'seconds'),
        'idle_seconds': _number(15.0, 0.1, 3600, 'seconds'),
        'hello_seconds': _number(5.0, 0.1, 60, 'seconds'),
        'connections': _integer(4000, 1, 60000, 'connections'),
        'via': {
            'type': 'object',
            'default': {},
            'additionalProperties': _ADDRESS,
            'description': 'instance name to the address that reaches it',
        },
    },
    'shutdown': {
        'notice_seconds': _number(3.0, 0, 120, 'seconds'),
        'finish_seconds': _number(600.0, 0, 86400, 'seconds'),
    },
    'logging': {
        'level': _choice('info', 'debug', 'info', 'warning', 'error'),
    },
}


class Section:
    """One checked section; its keys are its attributes."""

    __slots__ = ('_values',)

    def __init__(self, values: dict[str, typing.Any]) -> None:
        self._values = values

    def __getattr__(self, key: str) -> typing.Any:
        try:
            return self._values[key]
        except KeyError:
            raise AttributeError(key) from None

    def replace(self, **values: typing.Any) -> 'Section':
        """Return a section with some values changed."""
        return Section(self._values | values)


# Sections that a running instance takes from a changed file. Addresses, and
# what was built on them, stay until the next start.
RELOADED = ('bounds', 'limits', 'backends', 'shutdown')


class Settings:
    """Every setting of one process, checked and with its defaults."""

    __slots__ = tuple(SECTIONS)

    def __init__(self, values: dict[str, dict[str, typing.Any]]) -> None:
        for name, keys in SECTIONS.items():
            given = values.get(name, {})
            merged = {
                key: given.get(key, schema.get('default'))
                for key, schema in keys.items()
            }
            setattr(self, name, Section(merged))


def read_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsInvalid
        With one SettingError for each mistake, all at once.
    """
    try:
        values = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        mistake = errors.SettingError(
            str(path), '(file)', str(error), 'a readable TOML file'
        )
        raise errors.SettingsInvalid('settings invalid', [mistake]) from None
    return check_settings(values, source=str(path))


def check_settings(
    values: dict[str, typing.Any], *, source: str = 'settings'
) -> Settings:
    """Check parsed settings; see `read_settings`."""
    mistakes = list(_find_mistakes(values, source))
    if mistakes:
        raise errors.SettingsInvalid('settings invalid', mistakes)
    return Settings(values)


def _find_mistakes(
    values: dict[str, typing.Any], source: str
) -> typing.Iterator[errors.SettingError]:
    for name in values.keys() - SECTIONS.keys():
        allowed = 'sections ' + ', '.join(SECTIONS)
        yield errors.SettingError(source, name, values[name], allowed)
    for name, keys in SECTIONS.items():
        given = values.get(name, {})
        if not isinstance(given, dict):
            yield errors.SettingError(source, name, given, 'a table')
            continue
        yield from _find_section_mistakes(name, keys, given, source)


def _find_section_mistakes(
    name: str,
    keys: dict[str, dict[str, typing.Any]],
    given: dict[str, typing.Any],
    source: str,
) -> typing.Iterator[errors.SettingError]:
    for key in given.keys() - keys.keys():
        allowed = 'keys ' + ', '.join(keys)
        yield errors.SettingError(source, f'{name}.{key}', given[key], allowed)
    for key, schema in keys.items():
        allowed = schema['description']
        if key not in given:
            if schema.get('required_here'):
                yield errors.SettingError(
                    source, f'{name}.{key}', None, allowed
                )
            continue
        checker = jsonschema.Draft202012Validator(schema)
        if not checker.is_valid(given[key]):
            yield errors.SettingError(
                source, f'{name}.{key}', given[key], allowed
            )
