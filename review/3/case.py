"""A request with two framings carries a second request to an engine.

A client sends one request, whose headers state a `Content-Length` and also
`Transfer-Encoding: chunked`. What follows its last chunk lies within the
stated length. RFC 9112, 6.1 and 6.3, let a server reject such a request, or
take the chunks and close the connection after its answer. The router takes
the chunks, keeps the connection, and runs the rest as a request of its own.
"""

from review.harness import case
from review.harness import fleet
from review.harness import http

_ROUNDS = 5
# Seconds for which a client reads what comes back.
_READ_SECONDS = 2.0


def _build_request(number: int, *, trouble: bool) -> tuple[str, str, bytes]:
    """Return the ids of a request and the one in its body, and its bytes."""
    outer, inner = f'sent-{number}', f'smuggled-{number}'
    hidden = http.write(
        'POST /booking/hidden HTTP/1.1',
        fleet.build_headers(inner, Content_Length='0'),
    )
    body = b'0\r\n\r\n' + hidden
    headers = fleet.build_headers(outer, Content_Length=str(len(body)))
    if trouble:
        headers['Transfer-Encoding'] = 'chunked'
    return outer, inner, http.write('POST /booking/x HTTP/1.1', headers, body)


def _send(address: str, data: bytes) -> list[http.Message]:
    """Send bytes on one connection; return all answers that come back."""
    answers = []
    with http.connect(address, seconds=_READ_SECONDS) as sock:
        sock.sendall(data)
        reader = http.Reader(sock)
        while (answer := reader.read()) is not None:
            answers.append(answer)
    return answers


def check(deployment: case.Deployment, trouble: bool) -> bool:
    """Return whether an engine ran what lies within another request."""
    log = deployment.log
    route = fleet.build_route('booking', 'non_idempotent', 'booking')
    deployment.store.put(
        'op/config', fleet.build_configuration(1, [route], ['booking'])
    )
    deployment.start_engines('booking', 2)
    deployment.start_routers(2)
    hidden = set()
    for number in range(_ROUNDS):
        router = deployment.routers[number % 2]
        outer, inner, data = _build_request(number, trouble=trouble)
        hidden.add(inner)
        log.log(f'client sends one request, {outer}, to {router.name}: {data}')
        for answer in _send(router.callers, data):
            log.log(f'client gets {answer.start}: {answer.body!r}')
    ids = {
        request.headers.get('amaranthslip-attempt-id')
        for each in deployment.engines
        for _, request in each.runs
    }
    log.log(f'engines ran what no client sent: {sorted(ids & hidden)}')
    return bool(ids & hidden)


if __name__ == '__main__':
    case.run(__file__, check)
