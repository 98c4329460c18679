"""Starts an entry with its servers for one scenario, and closes them."""

from tests.support import callers
from tests.support import exchanges


def start(context, *, engines=(), plain=(), deadline=30.0, **sections):
    """Start `context.side` before servers at some addresses."""
    held = callers.build_document(engines, plain, deadline=deadline)
    context.side = callers.Side(held, **sections)
    context.add_cleanup(context.side.close)
    return context.side


def add(context, server):
    """Close a server with the scenario; return it."""
    context.add_cleanup(server.close)
    return server


def add_script(context, follow):
    """Start a server that follows a script."""
    return add(context, exchanges.Script(follow))


def serve_plain(context, follow):
    """Let a script be the plain service's only server."""
    script = add_script(context, follow)
    context.side.holder.document = callers.build_document(
        plain=[script.address]
    )
    return script


def connect(context):
    """Open a caller's connection, closed with the scenario."""
    return add(context, exchanges.Caller(context.side.address))


# Small enough that a test passes the limits without much ado.
BODY_BYTES = 2048
_LIMITS = {
    'body_bytes': BODY_BYTES,
    'header_bytes': 2048,
    'header_seconds': 0.5,
    'body_seconds': 0.5,
}


def start_served(context, **limits):
    """Start an entry before a stand-in engine and a booking service."""
    context.engine = add(context, exchanges.Engine())
    context.plain = add(context, exchanges.Plain())
    context.received = []
    start(
        context,
        engines=[context.engine.address],
        plain=[context.plain.address],
        limits=_LIMITS | limits,
    )


def ask_chat(context, values, **headers):
    """Ask for a chat on a connection of its own; keep what came."""
    received = exchanges.ask(
        context.side, 'POST', '/v1/chat/completions', values, **headers
    )
    context.received.append(received)
    return received
