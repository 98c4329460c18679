"""Instances in one process, one of which passes requests to a peer."""

from amaranthslip.members import usage_messages
from tests.support import operated

SERVER = 'plain-1'
ENGINE = 'llm-1'


def start(context, count, *, adaptive='always', **shutdown):
    """Start instances on one platform with one server of each service."""
    instances = []
    for number in range(count):
        fixture = operated.InstanceFixture(
            platform_of=instances[0] if number else None,
            instance={'name': f'e{number}'},
            capacity={'adaptive': adaptive},
            shutdown={'notice_seconds': 3} | shutdown,
        )
        context.add_cleanup(fixture.close)
        instances.append(fixture)
    first = instances[0]
    first.configure()
    for name, service in ((SERVER, 'plain'), (ENGINE, 'llm')):
        first.register(operated.Backend(name, service=service))
    for each in instances:
        each.start()
    for each in instances:
        each.wait_for_members(count)
        # The test sets the usage, and tells the peers.
        each.instance.loop_usage.close()
        each.instance.usage_exchange.close()
        each.instance.loop_usage.fraction = 0.0
    return instances


def overload(fixture, peer_name, peer_address):
    """Let an instance pass all requests to one peer."""
    instance = fixture.instance
    # Enough to pass all requests on, and not so much that some are refused.
    instance.loop_usage.fraction = 0.85
    for _ in range(20):
        instance.overflow.adjust(0.1)
    host, port = peer_address
    instance.overflow.set_peers(
        [
            usage_messages.PeerUsage(
                name=peer_name, callers=f'{host}:{port}', usage=0.0
            )
        ]
    )
