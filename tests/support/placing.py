"""What one instance needs around it to place requests, with no network."""

from bench import patterns


class Stage:
    """What one instance needs around it; it is its servers' keeper."""

    def __init__(self, servers):
        self.names = ['instance-0']
        self.servers = [patterns.build_server(each) for each in range(servers)]
        self.holder = patterns.build_holder()
        self.now = 1000.0

    def read_clock(self):
        return self.now

    def count(self, name, label, amount=1):
        """Take a count."""
