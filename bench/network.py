"""The network between the routers: one proxied way for each ordered pair."""

import itertools
import json
import pathlib
import typing

from bench import control
from bench import processes


class Network:
    """Carries what routers send each other, and can lose it.

    Parameters
    ----------
    addresses : dict of str to str
        Where each router listens for its peers.
    folder : pathlib.Path
        For the proxy's output.
    """

    __slots__ = ('_addresses', '_process', '_proxy', '_ports')

    def __init__(
        self, addresses: dict[str, str], folder: pathlib.Path
    ) -> None:
        self._addresses = addresses
        command = processes.build_python_command('standins.proxy')
        for sender, receiver in itertools.permutations(addresses, 2):
            way = _name_way(sender, receiver)
            command += ['--target', f'{way}={addresses[receiver]}']
        self._process = processes.Process('proxy', command, folder)
        self._proxy: control.StandIn | None = None
        self._ports: dict[str, int] = {}

    def start(self) -> None:
        """Start the proxy and learn the port of each way."""
        self._process.start()
        self._proxy = control.StandIn(self._process)
        announced = json.loads(self._process.read_output().splitlines()[0])
        self._ports = announced['listeners']

    def close(self) -> None:
        """End the proxy."""
        self._process.close()

    def list_ways(self, sender: str) -> dict[str, str]:
        """Return the setting `links.via` of one router."""
        return {
            receiver: f'127.0.0.1:{self._ports[_name_way(sender, receiver)]}'
            for receiver in self._addresses
            if receiver != sender
        }

    def delay(self, seconds: float) -> None:
        """Delay every message by so many seconds one way."""
        for sender, receiver in itertools.permutations(self._addresses, 2):
            self.set_way(sender, receiver, delay_seconds=seconds)

    def set_way(self, sender: str, receiver: str, **faults: object) -> None:
        """Set the faults of what `sender` sends to `receiver`."""
        way = _name_way(sender, receiver)
        self._proxy.order('/standin/faults', listener=way, **faults)

    def lose(self, sender: str, receiver: str) -> None:
        """Lose all that `sender` sends to `receiver`, but not the answers."""
        self.set_way(sender, receiver, direction='up', drop=True)
        self.set_way(receiver, sender, direction='down', drop=True)

    def partition(self, side: typing.Collection[str]) -> None:
        """Cut the routers of one side off from all others, both ways."""
        for sender, receiver in itertools.permutations(self._addresses, 2):
            if (sender in side) != (receiver in side):
                self.set_way(sender, receiver, drop=True)

    def heal(self) -> None:
        """End every loss; a stream that lost bytes is cut.

        A real network's TCP would have sent the lost bytes again or given
        the connection up; a proxy that threw bytes away can only do the
        second.
        """
        for sender, receiver in itertools.permutations(self._addresses, 2):
            self.set_way(sender, receiver, drop=False)
            self.set_way(sender, receiver, cut=True)

    def count_sent_bytes(self) -> dict[str, float]:
        """Return the bytes that each router has sent to its peers."""
        ways = self._proxy.read_stats()
        sent = dict.fromkeys(self._addresses, 0.0)
        for sender, receiver in itertools.permutations(self._addresses, 2):
            way = ways[_name_way(sender, receiver)]
            sent[sender] += way['up_bytes']
            sent[receiver] += way['down_bytes']
        return sent

    def slow(self, name: str, seconds: float) -> None:
        """Delay all that one router sends and receives."""
        for other in self._addresses:
            if other != name:
                self.set_way(name, other, delay_seconds=seconds)
                self.set_way(other, name, delay_seconds=seconds)


def _name_way(sender: str, receiver: str) -> str:
    return f'{sender}>{receiver}'
