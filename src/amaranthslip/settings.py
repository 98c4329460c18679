"""The settings of one process, read from TOML and fully validated.

The settings contain what is specific to a process, such as its addresses and
its failure domain. Values that operators change while the fleet runs are in
the configuration document.
"""

import copy
import functools
import pathlib
import re
import tomllib
import typing

from amaranthslip import errors


class Kind:
    """The type and the allowed values of one key.

    These classes replace a schema library, because importing that library
    would delay the restart of an instance.

    Parameters
    ----------
    default : object
        The value of a key that the file does not contain.
    description : str
        The allowed values, for error messages.
    """

    __slots__ = ('default', 'description', 'required')

    def __init__(self, default: typing.Any, description: str) -> None:
        self.default = default
        self.description = description
        self.required = False


class Number(Kind):
    """A number in a range and a unit; an integer if `integral` is true."""

    __slots__ = ('minimum', 'maximum', 'integral')

    def __init__(
        self,
        default: float,
        minimum: float,
        maximum: float,
        unit: str,
        *,
        integral: bool = False,
    ) -> None:
        super().__init__(default, f'{unit}, {minimum:g} to {maximum:g}')
        self.minimum = minimum
        self.maximum = maximum
        self.integral = integral


class Text(Kind):
    """A text that contains a match of a pattern; its length may be limited."""

    __slots__ = ('pattern', 'max_length')

    def __init__(
        self,
        pattern: str,
        description: str,
        *,
        default: str | None = None,
        max_length: int | None = None,
    ) -> None:
        super().__init__(default, description)
        self.pattern = re.compile(pattern)
        self.max_length = max_length


class Choice(Kind):
    """One of several allowed values."""

    __slots__ = ('allowed',)

    def __init__(self, default: str, *allowed: str) -> None:
        super().__init__(default, 'one of ' + ', '.join(allowed))
        self.allowed = allowed


class Flag(Kind):
    """True or false."""

    __slots__ = ()

    def __init__(self, default: bool) -> None:
        super().__init__(default, 'true or false')


class Table(Kind):
    """A table of names and values, all of one kind."""

    __slots__ = ('values',)

    def __init__(self, values: Kind, description: str) -> None:
        super().__init__({}, description)
        self.values = values


@functools.singledispatch
def accepts(kind: Kind, value: object) -> bool:
    """Return whether a kind allows a value."""
    raise TypeError(
        f'accepts() has no implementation for {type(kind).__name__};'
        ' register one'
    )


@accepts.register
def _(kind: Number, value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    if not kind.minimum <= value <= kind.maximum:
        return False
    return not kind.integral or value == int(value)


@accepts.register
def _(kind: Text, value: object) -> bool:
    if not isinstance(value, str) or not kind.pattern.search(value):
        return False
    return kind.max_length is None or len(value) <= kind.max_length


@accepts.register
def _(kind: Choice, value: object) -> bool:
    return value in kind.allowed


@accepts.register
def _(kind: Flag, value: object) -> bool:
    return isinstance(value, bool)


@accepts.register
def _(kind: Table, value: object) -> bool:
    return isinstance(value, dict) and all(
        accepts(kind.values, each) for each in value.values()
    )


_ADDRESS = Text(
    r'^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$',
    'IP address and port, such as 10.0.0.5:7000',
)
_OPTIONAL_ADDRESS = Text(
    r'^([0-9A-Fa-f.:\[\]]+:[0-9]{1,5})?$',
    'IP address and port, or an empty text',
    default='',
)
_URL = Text(r'^https?://[^/]+', 'an http or https URL')
_NAME = Text(
    r'^[a-z0-9][a-z0-9.-]{0,62}$',
    'lower-case letters, digits, dots and hyphens',
)


def _integer(default: int, minimum: int, maximum: int, unit: str) -> Number:
    return Number(default, minimum, maximum, unit, integral=True)


def _required(kind: Kind) -> Kind:
    required = copy.copy(kind)
    required.required = True
    return required


# The kind of each key, by section. Units are part of the key names;
# docs/OPERATIONS.md explains the defaults.
SECTIONS: dict[str, dict[str, Kind]] = {
    'instance': {
        'name': _required(_NAME),
        'failure_domain': _required(_NAME),
        'region': _required(_NAME),
        'regions': Table(_NAME, 'failure domain to the name of its region'),
    },
    'addresses': {
        'callers': _required(_ADDRESS),
        'operators': _required(_ADDRESS),
        'peers': _required(_ADDRESS),
        'readiness': _OPTIONAL_ADDRESS,
    },
    'platform': {
        'key_value': _required(_URL),
        'configuration': Choice('own', 'own', 'operator'),
        'timeout_seconds': Number(2.0, 0.05, 30, 'seconds'),
        'poll_seconds': Number(2.0, 0.1, 30, 'seconds'),
        'list_interval_seconds': Number(5.0, 0.1, 300, 'seconds'),
        'prefix': Text(
            '/$',
            'a key prefix that ends with a slash',
            default='/amaranthslip/',
        ),
    },
    'dispatch': {
        'policy': Choice('fleet', 'fleet', 'single', 'local'),
        'homes': _integer(8, 1, 64, 'dispatchers for each client account'),
        'widen_seconds': Number(0.05, 0.005, 5, 'seconds'),
        'charge_tokens': _integer(500, 1, 100000, 'tokens'),
        'commit_tokens': _integer(400, 1, 100000, 'tokens'),
        'digest_seconds': Number(0.5, 0.05, 30, 'seconds'),
        'rebuild_seconds': Number(0.5, 0.0, 30, 'seconds'),
        'prefix_routing': Flag(True),
    },
    'limits': {
        'body_bytes': _integer(4194304, 1024, 268435456, 'bytes'),
        'header_seconds': Number(10.0, 0.1, 120, 'seconds'),
        'body_seconds': Number(30.0, 0.1, 600, 'seconds'),
        'connections': _integer(4000, 1, 60000, 'connections'),
        'memory_megabytes': Number(0, 0, 1048576, 'megabytes'),
        'descriptors': _integer(0, 0, 10000000, 'descriptors'),
        'header_bytes': _integer(32768, 1024, 1048576, 'bytes'),
        'keep_alive_seconds': Number(75.0, 0.1, 3600, 'seconds'),
        'write_seconds': Number(30.0, 0.1, 600, 'seconds'),
        'answer_bytes': _integer(67108864, 1024, 1073741824, 'bytes'),
        # Limit on the lag of the event loop at which requests are accepted.
        # Stream events must be forwarded within about 0.12 to 0.2 s, and
        # first events within 0.4 s. Requests accepted at a larger lag would
        # miss these limits, and delay the requests in progress.
        'behind_seconds': Number(0.08, 0.01, 3600, 'seconds'),
    },
    'backends': {
        'connect_seconds': Number(1.0, 0.05, 30, 'seconds'),
        'first_byte_seconds': Number(60.0, 0.1, 3600, 'seconds'),
        'idle_seconds': Number(30.0, 0.1, 3600, 'seconds'),
        'load_interval_seconds': Number(1.0, 0.1, 60, 'seconds'),
        'eject_seconds': Number(2.0, 0.1, 600, 'seconds'),
        'eject_most_seconds': Number(60.0, 1, 3600, 'seconds'),
        'eject_fraction': Number(0.5, 0, 1, 'fraction of a service'),
        'retry_ratio': Number(0.2, 0, 1, 'retries for each request'),
        'lost_seconds': Number(10.0, 0.1, 600, 'seconds'),
    },
    # Services whose servers' capacity is learnt from their answers:
    # `registered`: those whose servers register their start time.
    'capacity': {
        'adaptive': Choice('registered', 'registered', 'always', 'never'),
        'keep_turns': Flag(False),
    },
    # Guarantees of the platform's operator for the fleet as a whole.
    'bounds': {
        'fail_closed': Flag(True),
        'revoke_milliseconds': Number(5000, 100, 3600000, 'milliseconds'),
        'apply_milliseconds': Number(2000, 100, 3600000, 'milliseconds'),
        'drain_milliseconds': Number(2000, 100, 3600000, 'milliseconds'),
        'evacuate_milliseconds': Number(5000, 100, 3600000, 'milliseconds'),
        'cold_rate_factor': Number(1.0, 0, 1000, 'times the tolerated rate'),
        'cold_slack': Number(0.0, 0, 100000, 'requests per second'),
        'relay_milliseconds': Number(120, 1, 60000, 'milliseconds'),
        'share_window_seconds': Number(4.0, 0.1, 600, 'seconds'),
        'retry_ratio': Number(0.2, 0, 10, 'retries for each request'),
        'retry_window_seconds': Number(10.0, 0.1, 600, 'seconds'),
        'retry_slack': Number(50.0, 0, 100000, 'retries'),
    },
    'members': {
        'probe_seconds': Number(1.0, 0.05, 60, 'seconds'),
        'probe_timeout_seconds': Number(0.5, 0.02, 60, 'seconds'),
        'suspect_seconds': Number(3.0, 0.1, 300, 'seconds'),
        'indirect_probes': _integer(3, 0, 16, 'instances'),
    },
    'claims': {
        'shards': _integer(16, 1, 4096, 'values'),
        'window_seconds': Number(86400.0, 1, 604800, 'seconds'),
        'group_seconds': Number(0.02, 0.0, 5, 'seconds'),
    },
    'links': {
        'queue_messages': _integer(1000, 10, 100000, 'messages'),
        'secret': Text(
            '',
            'a text that all instances share',
            default='',
            max_length=256,
        ),
        'dial_seconds': Number(2.0, 0.05, 60, 'seconds'),
        'lost_seconds': Number(6.0, 0.1, 600, 'seconds'),
        'idle_seconds': Number(15.0, 0.1, 3600, 'seconds'),
        'hello_seconds': Number(5.0, 0.1, 60, 'seconds'),
        'connections': _integer(4000, 1, 60000, 'connections'),
        'via': Table(_ADDRESS, 'instance name to the address that reaches it'),
    },
    'shutdown': {
        'notice_seconds': Number(3.0, 0, 120, 'seconds'),
        'finish_seconds': Number(600.0, 0, 86400, 'seconds'),
    },
    'logging': {
        'level': Choice('info', 'debug', 'info', 'warning', 'error'),
    },
}


class Section:
    """One validated section, with its keys as attributes."""

    __slots__ = ('_values',)

    def __init__(self, values: dict[str, typing.Any]) -> None:
        self._values = values

    def __getattr__(self, key: str) -> typing.Any:
        try:
            return self._values[key]
        except KeyError:
            raise AttributeError(key) from None

    def replace(self, **values: typing.Any) -> 'Section':
        """Return a copy of the section with some values replaced."""
        return Section(self._values | values)


# Sections that a running instance reloads from a changed file. Addresses, and
# the objects that use them, only change at the next start.
RELOADABLE_SECTIONS = ('bounds', 'limits', 'backends', 'shutdown')


class Settings:
    """All settings of one process, validated and with defaults applied."""

    __slots__ = tuple(SECTIONS)

    def __init__(self, values: dict[str, dict[str, typing.Any]]) -> None:
        for name, keys in SECTIONS.items():
            given = values.get(name, {})
            merged = {
                key: given.get(key, kind.default) for key, kind in keys.items()
            }
            setattr(self, name, Section(merged))

    def replace_section(self, name: str, **values: typing.Any) -> 'Settings':
        """Return a copy with some values of one section replaced."""
        settings = copy.copy(self)
        setattr(settings, name, getattr(self, name).replace(**values))
        return settings


def read_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsInvalid
        The file is invalid; the group contains one SettingError for each
        mistake.
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
    """Validate parsed settings; raises the errors of `read_settings`."""
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
    keys: dict[str, Kind],
    given: dict[str, typing.Any],
    source: str,
) -> typing.Iterator[errors.SettingError]:
    for key in given.keys() - keys.keys():
        allowed = 'keys ' + ', '.join(keys)
        yield errors.SettingError(source, f'{name}.{key}', given[key], allowed)
    for key, kind in keys.items():
        if key not in given:
            wrong = kind.required
        else:
            wrong = not accepts(kind, given[key])
        if wrong:
            yield errors.SettingError(
                source, f'{name}.{key}', given.get(key), kind.description
            )
