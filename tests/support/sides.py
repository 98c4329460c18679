"""Starts and closes an HTTP entry and its servers for one scenario."""

from tests.support import callers
from tests.support import exchanges


def start(context, *, engines=(), plain=(), deadline=30.0, **sections):
    """Start `context.side` in front of servers at the given addresses."""
    configuration = callers.build_document(engines, plain, deadline=deadline)
    context.side = callers.EntryFixture(configuration, **sections)
    context.add_cleanup(context.side.close)
    return context.side


def close_after_scenario(context, server):
    """Close a server at the end of the scenario; return the server."""
    context.add_cleanup(server.close)
    return server


def add_script(context, respond):
    """Start a server whose connections are handled by `respond`."""
    return close_after_scenario(context, exchanges.ScriptedServer(respond))


def serve_plain(context, respond):
    """Start a scripted server as the plain service's only server."""
    script = add_script(context, respond)
    context.side.holder.document = callers.build_document(
        plain=[script.address]
    )
    return script


def connect(context):
    """Open a caller's connection; closed at the end of the scenario."""
    return close_after_scenario(
        context, exchanges.Caller(context.side.address)
    )


# Small enough for a test to exceed the limits with little data and time.
BODY_BYTES = 2048
_LIMITS = {
    'body_bytes': BODY_BYTES,
    'header_bytes': 2048,
    'header_seconds': 0.5,
    'body_seconds': 0.5,
}


def start_served(context, **limits):
    """Start an entry in front of a stand-in engine and a booking service."""
    context.engine = close_after_scenario(context, exchanges.Engine())
    context.plain = close_after_scenario(context, exchanges.Plain())
    context.received = []
    start(
        context,
        engines=[context.engine.address],
        plain=[context.plain.address],
        limits=_LIMITS | limits,
    )


def ask_chat(context, values, **headers):
    """Request a chat on a new connection; store and return the answer."""
    received = exchanges.send_request(
        context.side, 'POST', '/v1/chat/completions', values, **headers
    )
    context.received.append(received)
    return received
