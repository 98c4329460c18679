"""The subcommand `explain`: one request's story, out of many logs."""

import json
import pathlib
import re
import sys
import typing

import cappa

from amaranthslip.commands import exits

_PAIR = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Events that change what an instance believes of a backend server or of the
# configuration: they are shown if they came shortly before a decision.
_CONTEXT_SECONDS = 5.0
_CONTEXT = re.compile(
    r'event=(backend_server_\w+|configuration_in_force|store_lost'
    r'|store_regained|link_lost|paused|router_started|router_stopping'
    r'|log_lines_dropped|member_\w+)'
)
_STAMP = re.compile(r'T(\d\d):(\d\d):(\d\d\.\d+)Z')


class Line:
    """One log line, parsed."""

    __slots__ = ('text', 'fields', 'seconds')

    def __init__(self, text: str) -> None:
        # A platform may write something of its own before each line.
        start = text.find('time=')
        self.text = text[max(start, 0) :].rstrip('\n')
        self.fields = {
            name: _unquote(value) for name, value in _PAIR.findall(self.text)
        }
        self.seconds = _read_seconds(self.fields.get('time', ''))


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def _read_seconds(stamp: str) -> float:
    found = _STAMP.search(stamp)
    if found is None:
        return 0.0
    hours, minutes, seconds = found.groups()
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def read_lines(logs: typing.Iterable[pathlib.Path]) -> list[str] | None:
    """Return the lines of log files; None, said, where one can't be read."""
    lines: list[str] = []
    for path in logs:
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            print(
                f'error: {path}: {error.strerror}; name a log file',
                file=sys.stderr,
            )
            return None
        lines += text.splitlines()
    return lines


def _find_attempt_ids(
    identifier: str, lines: typing.Sequence[str]
) -> set[str]:
    """Return the ids of all attempts with a fingerprint, or the given id."""
    mark = f'fingerprint={identifier}'
    attempt_ids = {
        line.fields.get('request_id', '')
        for line in (Line(text) for text in lines if mark in text)
        if line.fields.get('fingerprint') == identifier
    }
    return attempt_ids - {''} or {identifier}


def find_story(request_id: str, lines: typing.Sequence[str]) -> list[Line]:
    """Return a request's lines and what was believed around them, in order.

    For a fingerprint, the lines of all attempts are included. Context is
    taken from the instances that logged the request: changes in the seconds
    before it that name a server that was tried, or no server.
    """
    attempt_ids = _find_attempt_ids(request_id, lines)
    own: list[Line] = []
    context: list[Line] = []
    for text in lines:
        if any(f'request_id={each}' in text for each in attempt_ids):
            line = Line(text)
            if line.fields.get('request_id') in attempt_ids:
                own.append(line)
        elif _CONTEXT.search(text):
            context.append(Line(text))
    if not own:
        return []
    instances = {line.fields.get('instance') for line in own}
    servers = {line.fields.get('server') for line in own} | {None}
    first = min(line.seconds for line in own) - _CONTEXT_SECONDS
    last = max(line.seconds for line in own)
    story = own + [
        line
        for line in context
        if line.fields.get('instance') in instances
        and line.fields.get('server') in servers
        and first <= line.seconds <= last
    ]
    return sorted(story, key=lambda line: line.seconds)


def tell(request_id: str, story: list[Line]) -> typing.Iterator[str]:
    """Yield the story's lines: seconds since the first, instance, event."""
    start = next(line.seconds for line in story if 'request_id' in line.fields)
    for line in story:
        fields = dict(line.fields)
        about = '  ' if 'request_id' in fields else '. '
        rest = ' '.join(
            f'{name}={value}'
            for name, value in fields.items()
            if name not in ('time', 'level', 'logger', 'instance', 'event')
            and (name, value) != ('request_id', request_id)
        )
        yield (
            f'{about}{(line.seconds - start) * 1000:+9.0f} ms '
            f'{fields.get("instance", "?")} {fields.get("event", "?")} {rest}'
        )


@cappa.command(
    name='explain',
    help="Tell one request's story out of the instances' logs.",
    description='Gathers the lines of REQUEST-ID over all LOGS in the order '
    'of time. Lines with a dot tell what the instance learnt in the five '
    'seconds before. ' + exits.EXIT_CODES_HELP,
)
def explain_request(
    request_id: typing.Annotated[
        str,
        cappa.Arg(
            help="The caller's attempt id, X-Request-Id, or a request's"
            ' fingerprint.'
        ),
    ],
    logs: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(num_args=-1, help='Log files of one or more instances.'),
    ],
) -> int:
    """Print the story of one request."""
    lines = read_lines(logs)
    if lines is None:
        return exits.ExitCode.INVALID
    story = find_story(request_id, lines)
    if not story:
        print(
            f'error: no line tells of the request {request_id}; check the id,'
            ' and that the logs of every instance are there',
            file=sys.stderr,
        )
        return exits.ExitCode.INVALID
    for each in tell(request_id, story):
        print(each)
    return exits.ExitCode.DONE
