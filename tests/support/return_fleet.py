"""Instances that exchange turns on one virtual clock, through the codec."""

import collections

from amaranthslip import errors
from amaranthslip.links import codec
from amaranthslip.links import registry
from amaranthslip.members import roster
from amaranthslip.requests import returns
from bench import patterns

registry.register_all()


class Fleet:
    """Three instances; each counts its turns in `counts`."""

    def __init__(self):
        self.now = 100.0
        self.names = ['one', 'two', 'three']
        # Tokens per second of one account.
        self.share_rate = float('inf')
        self.counts = collections.Counter()
        self.sent = collections.Counter()
        self.silent = set()
        self.rosters = {}
        self.instances = {name: self._build(name) for name in self.names}

    def _build(self, name):
        members = roster.Roster(patterns.build_member(name))
        for other in self.names:
            if other != name:
                members.put(patterns.build_member(other))
        self.rosters[name] = members
        return returns.Returns(
            members,
            patterns.Outbox(self, name),
            lambda: self.share_rate,
            self,
            clock=lambda: self.now,
        )

    def count(self, name, label, amount=1):
        """Count in place of the metrics."""
        self.counts[label] += amount

    def deliver(self, sender, name, message):
        """Deliver a message as the links do, unless its receiver is silent."""
        self.sent[type(message).__name__] += 1
        if name not in self.silent:
            for each in codec.decode(codec.encode([message])):
                self.instances[name].receive(sender, each)

    def refuse(self, request, name='one', *, retry_after=0.1):
        """Refuse a request; return the seconds of its turn, and its wait.

        The first is None unless the request has a turn that is due, the second
        is the Retry-After that the caller is told otherwise.
        """
        refusal = errors.RequestRefused(
            'overload', 'refused', retry_after=retry_after
        )
        waited = self.instances[name].take(request, refusal)
        return waited, refusal.retry_after


class Request:
    """A request of an account with three seconds left."""

    def __init__(self, fleet, number, account='acme', *, seconds=3.0):
        self.fingerprint = number.to_bytes(16)
        self.client_account = account
        self.tokens = 1000.0
        self.route = patterns.build_route(patterns.KINDS[0])
        self.deadline = fleet.now + seconds
