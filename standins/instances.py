"""The platform's list of live and leaving instances, which lags.

    python -m standins.instances --port 0 --lag-seconds 2

`GET /instances` returns `{"instances": [...]}`, each with `name`, `address`,
`failure_domain`, `region` and `leaving`. `POST /standin/set` with the same
form replaces the list; readers see it `--lag-seconds` later.
`POST /standin/faults` with `{"mode": "up"|"down"}`.
"""

import time
import typing

from standins import server


class InstanceList:
    """The list as it was `lag_seconds` ago."""

    __slots__ = ('_lag_seconds', '_versions', '_down')

    def __init__(self, *, lag_seconds: float = 0.0) -> None:
        self._lag_seconds = lag_seconds
        self._versions: list[tuple[float, list[typing.Any]]] = [(0.0, [])]
        self._down = False

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        match environ['REQUEST_METHOD'], environ['PATH_INFO']:
            case 'GET', '/instances':
                if self._down:
                    server.cut(environ)
                return server.answer_json(
                    start_response, {'instances': self._read_seen()}
                )
            case 'POST', '/standin/set':
                instances = server.read_json(environ)['instances']
                self._versions.append((time.monotonic(), instances))
                return server.answer_json(start_response, {})
            case 'POST', '/standin/faults':
                self._down = server.read_json(environ)['mode'] == 'down'
                return server.answer_json(start_response, {})
        return server.answer_json(start_response, {}, status='404 Not Found')

    def _read_seen(self) -> list[typing.Any]:
        seen_until = time.monotonic() - self._lag_seconds
        while len(self._versions) > 1 and self._versions[1][0] <= seen_until:
            self._versions.pop(0)
        return self._versions[0][1]


def main() -> None:
    """Run the program."""
    parser = server.build_parser('The lagging list of instances.')
    parser.add_argument('--lag-seconds', type=float, default=0.0)
    options = parser.parse_args()
    instances = InstanceList(lag_seconds=options.lag_seconds)
    server.run(instances, port=options.port)


if __name__ == '__main__':
    main()
