"""Steps about patterns of load, played in virtual time."""

import statistics

import behave

from bench import patterns

_SECONDS = 12.0
# One seed's margin between two policies varies by a third of it.
_SEEDS = (1, 2, 3)
# The account that floods in `flood_of_one_account`.
_FLOODING = 'account-2'


def _play(context, policy):
    if policy not in context.results:
        context.results[policy] = patterns.play_many(
            context.pattern, policy, seconds=_SECONDS, seeds=_SEEDS
        )
    return context.results[policy]


@behave.when('the pattern "{name}" is played')
def play(context, name):
    context.pattern = name
    context.results = {}
    result = _play(context, 'placement')
    print(f'{name}: worth {result.worth:.3f}, hits {result.hit_rate:.3f}')


@behave.then('placement earns {part:g} of what is owed at least')
def check_worth(context, part):
    assert _play(context, 'placement').worth >= part


@behave.then('placement earns {more:g} more than "{policy}"')
def check_more(context, more, policy):
    own = _play(context, 'placement').worth
    other = _play(context, policy).worth
    assert own >= other + more, (own, other)


@behave.then(
    'placement reads {part:g} of the shared tokens from caches at least'
)
def check_hits(context, part):
    found = _play(context, 'placement').hit_rate
    assert found >= part, found


@behave.then('no engine gets more than {part:g} of the requests')
def check_spread(context, part):
    sends = _play(context, 'placement').sends
    assert max(sends.values()) <= part * sends.total(), sends


def _list_others(result):
    accounts = [each for each in result.asked if each.startswith('account-')]
    return [result.read_share(each) for each in accounts if each != _FLOODING]


@behave.then(
    'the flooding account is served in time less often than the others'
)
def check_flooding(context):
    result = _play(context, 'placement')
    others = statistics.median(_list_others(result))
    assert result.read_share(_FLOODING) < others, others


@behave.then(
    'every other account is served in time {part:g} of its requests at least'
)
def check_others(context, part):
    shares = _list_others(_play(context, 'placement'))
    assert min(shares) >= part, sorted(shares)


@behave.then(
    'the kind "{name}" is served in time {part:g} of its requests at least'
)
def check_kind(context, name, part):
    found = _play(context, 'placement').read_share(name)
    assert found >= part, found


@behave.then(
    'of the largest tenth and of the fifth below it {part:g} times as many as'
    ' of their kind are served at least'
)
def check_sizes(context, part):
    result = _play(context, 'placement')
    found = {
        kind.name: (
            result.read_size_share(kind.name, 0.9, 1.0),
            result.read_size_share(kind.name, 0.7, 0.9),
        )
        for kind in patterns.KINDS
    }
    print({name: [round(each, 2) for each in v] for name, v in found.items()})
    assert min(min(each) for each in found.values()) >= part, found


@behave.then(
    'placement loses {count:d} requests at most, and fewer than "{policy}"'
)
def check_lost(context, count, policy):
    own = _play(context, 'placement').lost
    assert own <= count, own
    assert own < _play(context, policy).lost


@behave.then(
    '{part:g} of the first events of placement come within {seconds:g} seconds'
)
def check_first_events(context, part, seconds):
    found = _play(context, 'placement').read_percentile(part)
    assert found <= seconds, found


@behave.then('"{one}" gets {factor:g} times the tokens of "{other}" at most')
def check_granted(context, one, factor, other):
    granted = _play(context, 'placement').granted
    assert granted[one] <= factor * granted[other], (
        granted[one],
        granted[other],
    )
