"""A test environment for the placement of one instance, without a network."""

from bench import patterns


class Environment:
    """The surroundings of one instance, which is the keeper of all servers."""

    def __init__(self, servers):
        self.names = ['instance-0']
        self.adaptive = 'never'
        self.servers = [patterns.build_server(each) for each in range(servers)]
        self.adaptive = 'never'
        self.holder = patterns.build_holder()
        self.now = 1000.0
        self.adaptive = 'never'

    def read_clock(self):
        return self.now

    def count(self, name, label, amount=1):
        """Ignore a counter increment."""
