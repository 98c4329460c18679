"""Steps about answers that end with their connection."""

import behave
import gevent
from gevent import socket

from tests.support import exchanges
from tests.support import operated

_LAST_EVENT = 9
_CUT_EVENT = b'id: %d\ndata: ev'


def _list_engines(context):
    return [
        each
        for each in context.side.backends.values()
        if each.service == 'llm'
    ]


def _plan_first(context, plan):
    """Set the plan for the engine that gets the first request."""
    plans = [plan]
    for each in _list_engines(context):
        following = each.default_plan

        def respond(backend, sock, request, following=following):
            if plans:
                return plans.pop()(backend, sock, request)
            context.second = backend
            return following(backend, sock, request)

        each.default_plan = respond


def _send(last, *, cut=b'', end='close'):
    """Return a plan that sends events without a length, to the last one.

    Parameters
    ----------
    cut : bytes
        The beginning of a further event.
    end : str
        How the connection ends: `close`, `reset`, or `crash` of the engine.
    """

    def respond(backend, sock, request):
        first = int(request.headers.get('last-event-id', 0)) + 1
        sock.sendall(operated.write_unframed_head(backend, request))
        sock.sendall(operated.write_events(first, last) + cut)
        # The events arrive before a reset, which discards unread bytes.
        gevent.sleep(0.05)
        if end == 'crash':
            backend.crash()
        if end == 'reset':
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, exchanges.RESET
            )
        return False

    return respond


@behave.given('the engines send events without a length')
def plan_engines(context):
    for each in _list_engines(context):
        each.default_plan = _send(_LAST_EVENT)


@behave.given("the first engine's connection ends inside event {number:d}")
def end_inside(context, number):
    _plan_first(context, _send(number - 1, cut=_CUT_EVENT % number))


@behave.given("the first engine's connection ends after event {number:d}")
def end_after(context, number):
    _plan_first(context, _send(number))


@behave.given("the first engine's connection is reset after event {number:d}")
def reset_after(context, number):
    _plan_first(context, _send(number, end='reset'))


@behave.given(
    'the first engine sends events in chunks, and is cut off after event'
    ' {number:d}'
)
def cut_chunks(context, number):
    _plan_first(context, operated.stream(1, number, end=False))


@behave.given('the first engine crashes inside event {number:d}')
def crash_inside(context, number):
    _plan_first(
        context, _send(number - 1, cut=_CUT_EVENT % number, end='crash')
    )
