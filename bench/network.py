"""The network between the routers: one proxied link per ordered pair.

A link carries the connections that its sender opens to its receiver.
"""

import itertools
import json
import pathlib
import typing

from bench import control
from bench import processes


class Network:
    """A proxy between the routers that can delay, drop and cut connections.

    Parameters
    ----------
    addresses : dict of str to str
        The address at which each router listens for its peers, by name.
    folder : pathlib.Path
        For the proxy's output file.
    """

    __slots__ = ('_addresses', '_process', '_proxy', '_ports')

    def __init__(
        self, addresses: dict[str, str], folder: pathlib.Path
    ) -> None:
        self._addresses = addresses
        command = processes.build_python_command('standins.proxy')
        for sender, receiver in itertools.permutations(addresses, 2):
            link = _name_link(sender, receiver)
            command += ['--target', f'{link}={addresses[receiver]}']
        self._process = processes.Process('proxy', command, folder)
        self._proxy: control.StandIn | None = None
        self._ports: dict[str, int] = {}

    def start(self) -> None:
        """Start the proxy and read the port of each link from its output."""
        self._process.start()
        self._proxy = control.StandIn(self._process)
        announced = json.loads(self._process.read_output().splitlines()[0])
        self._ports = announced['listeners']

    def close(self) -> None:
        """End the proxy."""
        self._process.close()

    def list_ways(self, sender: str) -> dict[str, str]:
        """Return the setting `links.via` of one router.

        It has the proxy address of the link to each peer.
        """
        return {
            receiver: f'127.0.0.1:{self._ports[_name_link(sender, receiver)]}'
            for receiver in self._addresses
            if receiver != sender
        }

    def delay(self, seconds: float) -> None:
        """Delay all data on every link by `seconds` in each direction."""
        for sender, receiver in itertools.permutations(self._addresses, 2):
            self.set_link_faults(sender, receiver, delay_seconds=seconds)

    def set_link_faults(
        self, sender: str, receiver: str, **faults: object
    ) -> None:
        """Set faults of the link from `sender` to `receiver`."""
        link = _name_link(sender, receiver)
        self._proxy.order('/standin/faults', listener=link, **faults)

    def lose(self, sender: str, receiver: str) -> None:
        """Drop all that `sender` sends to `receiver`, not the reverse.

        Applies to the connections that either of them has opened.
        """
        self.set_link_faults(sender, receiver, direction='up', drop=True)
        self.set_link_faults(receiver, sender, direction='down', drop=True)

    def partition(self, side: typing.Collection[str]) -> None:
        """Drop all data between one side's routers and all other routers."""
        for sender, receiver in itertools.permutations(self._addresses, 2):
            if (sender in side) != (receiver in side):
                self.set_link_faults(sender, receiver, drop=True)

    def heal(self) -> None:
        """End every drop fault and cut all connections between routers.

        TCP on a real network would either retransmit lost bytes or abort the
        connection. The proxy has discarded the dropped bytes, so it can only
        abort the connections.
        """
        for sender, receiver in itertools.permutations(self._addresses, 2):
            self.set_link_faults(sender, receiver, drop=False)
            self.set_link_faults(sender, receiver, cut=True)

    def count_sent_bytes(self) -> dict[str, float]:
        """Return the bytes that each router has sent to its peers, by name."""
        links = self._proxy.read_stats()
        sent = dict.fromkeys(self._addresses, 0.0)
        for sender, receiver in itertools.permutations(self._addresses, 2):
            link = links[_name_link(sender, receiver)]
            sent[sender] += link['up_bytes']
            sent[receiver] += link['down_bytes']
        return sent

    def slow(self, name: str, seconds: float) -> None:
        """Delay all that one router sends and receives.

        Parameters
        ----------
        name : str
            The router.
        seconds : float
            The delay in each direction.
        """
        for peer in self._addresses:
            if peer != name:
                self.set_link_faults(name, peer, delay_seconds=seconds)
                self.set_link_faults(peer, name, delay_seconds=seconds)


def _name_link(sender: str, receiver: str) -> str:
    return f'{sender}>{receiver}'
