"""The subcommand `explain`: one request's log lines from several logs."""

import json
import pathlib
import re
import sys
import typing

import cappa

from amaranthslip.commands import exits

_FIELD = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Events that change an instance's view of backend servers, members or the
# configuration are shown as context of a request if they were logged during
# the request or at most this many seconds before.
_CONTEXT_SECONDS = 5.0
_CONTEXT_EVENTS = re.compile(
    r'event=(backend_server_\w+|configuration_in_force|store_lost'
    r'|store_regained|link_lost|paused|router_started|router_stopping'
    r'|log_lines_dropped|member_\w+)'
)
_TIME_OF_DAY = re.compile(r'T(\d\d):(\d\d):(\d\d\.\d+)Z')


class LogLine:
    """One log line, parsed."""

    __slots__ = ('text', 'fields', 'seconds')

    def __init__(self, text: str) -> None:
        # A platform may add a prefix to each line.
        start = text.find('time=')
        self.text = text[max(start, 0) :].rstrip('\n')
        self.fields = {
            name: _unquote(value) for name, value in _FIELD.findall(self.text)
        }
        self.seconds = _parse_seconds(self.fields.get('time', ''))


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def _parse_seconds(stamp: str) -> float:
    found = _TIME_OF_DAY.search(stamp)
    if found is None:
        return 0.0
    hours, minutes, seconds = found.groups()
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def read_lines(logs: typing.Iterable[pathlib.Path]) -> list[str] | None:
    """Return the lines of log files.

    If a file can't be read, an error is printed and None is returned.
    """
    lines: list[str] = []
    for path in logs:
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            print(
                f'error: {path}: {error.strerror}; use a readable log file',
                file=sys.stderr,
            )
            return None
        lines += text.splitlines()
    return lines


def _find_attempt_ids(
    identifier: str, lines: typing.Sequence[str]
) -> set[str]:
    """Return the ids of all attempts with a fingerprint, else the given id."""
    mark = f'fingerprint={identifier}'
    attempt_ids = {
        line.fields.get('request_id', '')
        for line in (LogLine(text) for text in lines if mark in text)
        if line.fields.get('fingerprint') == identifier
    }
    return attempt_ids - {''} or {identifier}


def find_request_lines(
    request_id: str, lines: typing.Sequence[str]
) -> list[LogLine]:
    """Return a request's lines and their context, in order of time.

    For a fingerprint, the lines of all attempts are included. Context lines
    come from the instances that logged the request: state changes shortly
    before or during the request that name a server that was tried, or no
    server.
    """
    attempt_ids = _find_attempt_ids(request_id, lines)
    request_lines: list[LogLine] = []
    context: list[LogLine] = []
    for text in lines:
        if any(f'request_id={each}' in text for each in attempt_ids):
            line = LogLine(text)
            if line.fields.get('request_id') in attempt_ids:
                request_lines.append(line)
        elif _CONTEXT_EVENTS.search(text):
            context.append(LogLine(text))
    if not request_lines:
        return []
    instances = {line.fields.get('instance') for line in request_lines}
    servers = {line.fields.get('server') for line in request_lines} | {None}
    first = min(line.seconds for line in request_lines) - _CONTEXT_SECONDS
    last = max(line.seconds for line in request_lines)
    result = request_lines + [
        line
        for line in context
        if line.fields.get('instance') in instances
        and line.fields.get('server') in servers
        and first <= line.seconds <= last
    ]
    return sorted(result, key=lambda line: line.seconds)


def format_lines(
    request_id: str, lines: list[LogLine]
) -> typing.Iterator[str]:
    """Yield the output lines: milliseconds, instance, event, fields.

    Times count from the request's first line. Context lines start with a dot.
    """
    start = next(line.seconds for line in lines if 'request_id' in line.fields)
    for line in lines:
        fields = dict(line.fields)
        marker = '  ' if 'request_id' in fields else '. '
        pairs = ' '.join(
            f'{name}={value}'
            for name, value in fields.items()
            if name not in ('time', 'level', 'logger', 'instance', 'event')
            and (name, value) != ('request_id', request_id)
        )
        yield (
            f'{marker}{(line.seconds - start) * 1000:+9.0f} ms '
            f'{fields.get("instance", "?")} {fields.get("event", "?")} {pairs}'
        )


@cappa.command(
    name='explain',
    help="Show one request's log lines from the instances' logs.",
    description='Prints the lines of REQUEST-ID from all LOGS in order of '
    'time. Lines that start with a dot are state changes that the instance '
    'logged during the request or in the five seconds before. '
    + exits.EXIT_CODES_HELP,
)
def explain_request(
    request_id: typing.Annotated[
        str,
        cappa.Arg(
            help="The client's attempt id, X-Request-Id, or a request's"
            ' fingerprint.'
        ),
    ],
    logs: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(num_args=-1, help='Log files of one or more instances.'),
    ],
) -> int:
    """Print the log lines of one request."""
    lines = read_lines(logs)
    if lines is None:
        return exits.ExitCode.INVALID
    request_lines = find_request_lines(request_id, lines)
    if not request_lines:
        print(
            f'error: no line of the request {request_id} found; check the id,'
            ' and that the logs of every instance are included',
            file=sys.stderr,
        )
        return exits.ExitCode.INVALID
    for each in format_lines(request_id, request_lines):
        print(each)
    return exits.ExitCode.DONE
