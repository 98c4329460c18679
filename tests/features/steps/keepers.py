"""Steps about the keepers of backend servers."""

import collections

import behave

from amaranthslip.requests import prompts
from amaranthslip.shares import places
from bench import patterns

_KIND = patterns.KINDS[0]


class World:
    """What the instances of `bench.patterns` ask of their world."""

    def __init__(self):
        self.now = 100.0
        self.names = ['one', 'two', 'three']
        self.servers = [patterns.build_server(number) for number in range(2)]
        self.holder = patterns.build_holder()
        self.instances = {}
        self.deaf = set()
        self.sent = []
        self.counts = collections.Counter()
        # The kind of message that gets lost, and those that were.
        self.lost = ''
        self.late = []
        for name in self.names:
            self.instances[name] = patterns.Instance(self, name)

    def read_clock(self):
        return self.now

    def count(self, name, label, amount=1):
        """Take a count, in the metrics' place."""
        self.counts[name, label] += amount

    def deliver(self, sender, name, message):
        self.sent.append((sender, name, type(message).__name__))
        if type(message).__name__ == self.lost:
            self.late.append((sender, name, message))
            return
        if name not in self.deaf:
            self.instances[name].keepers.receive(sender, message)


def _build_need(world, session, own_tokens):
    parts = [
        prompts.Part('first', 500),
        prompts.Part(session, 500),
        prompts.Part(f'own-{len(world.sent)}-{own_tokens}', own_tokens),
    ]
    prompt = prompts.Prompt(
        model='m',
        parts=parts,
        prompt_tokens=1000 + own_tokens,
        most_tokens=100,
    )
    return places.Need(
        service=patterns.SERVICE,
        account='account-1',
        route=patterns.build_route(_KIND),
        prompt=prompt,
        arrived=world.now,
        deadline=world.now + 6,
    )


def _find_engine(context, name, server):
    keepers = context.world.instances[name].keepers
    return keepers._engines.get(server)


def _count_messages(context, kind):
    return sum(each[2] == kind for each in context.world.sent)


@behave.given('three instances before two engines')
def start(context):
    context.world = World()


@behave.given('the keepers answer nothing')
def freeze(context):
    context.world.deaf = {'one', 'two', 'three'}


@behave.when(
    'another instance than the keeper sends {tokens:d} tokens to an engine'
)
def send(context, tokens):
    world = context.world
    # A session for each name until one goes from one instance to another.
    for number in range(50):
        sender = world.instances[world.names[number % 3]]
        need = _build_need(world, f'session-{number}', tokens)
        place = sender.keepers.reserve(need)
        keeper = sender.keepers.find_keeper(place.server.name)
        if keeper != sender.name:
            context.session = f'session-{number}'
            context.sender, context.keeper = sender.name, keeper
            context.place = place
            return
        place.cancel()
        world.now += 10
    raise AssertionError('every engine is kept by its sender')


@behave.when('a third instance has a prompt whose place is at that engine')
def send_third(context):
    known = {context.sender, context.keeper}
    (third,) = [name for name in context.world.names if name not in known]
    need = _build_need(context.world, context.session, 100)
    context.third = context.world.instances[third].keepers.reserve(need)


@behave.then('it goes to the other engine')
def check_other(context):
    assert context.third.server.name != context.place.server.name


@behave.when('an instance reserves places for {count:d} prompts')
def reserve_many(context, count):
    world = context.world
    servers = [each.name for each in world.servers]
    # The instance that keeps neither engine asks for both.
    keepers = {
        world.instances['one'].keepers.find_keeper(each) for each in servers
    }
    name = next(each for each in world.names if each not in keepers)
    need = _build_need(world, 'session', 100)
    instance = world.instances[name]
    context.places = [instance.keepers.reserve(need) for _ in range(count)]


@behave.then('all {count:d} have places')
def check_places(context, count):
    assert len(context.places) == count


@behave.then('the keeper was waited for once, and told of the others')
def check_asked(context):
    silent = context.world.counts['keeper_asks', 'silent']
    told = _count_messages(context, 'PlaceAsk')
    assert (silent, told) == (1, 5), (silent, told)


@behave.when(
    "the keepers' answers are lost, and an instance places {count:d} prompts"
)
def place_unanswered(context, count):
    world = context.world
    world.lost = 'PlaceAnswer'
    sender = world.instances['one']
    context.places = [
        sender.keepers.reserve(_build_need(world, f's-{number}', 100))
        for number in range(count)
    ]


@behave.then('the keepers count all {count:d}')
def check_counted(context, count):
    world = context.world
    counted = [
        each.placement.engines.get(server.name).all_running
        for each in world.instances.values()
        for server in world.servers
        if each.keepers.find_keeper(server.name) == each.name
    ]
    assert sum(counted) == count, counted


@behave.given('an instance whose loop is {seconds:g} seconds behind')
def fall_behind(context, seconds):
    context.world.instances['one'].keepers._read_lag = lambda: seconds


@behave.when('that instance reserves places for {count:d} prompts')
def reserve_behind(context, count):
    place_unanswered(context, count)
    context.world.lost = ''


@behave.then('no keeper was waited for, and all {count:d} were told')
def check_not_waited(context, count):
    asked = [key for key in context.world.counts if key[0] == 'keeper_asks']
    assert not asked, asked
    check_counted(context, count)


@behave.when('that request ends')
def end(context):
    context.place.start()
    context.place.succeed()


@behave.when('that instance restarts')
def restart(context):
    context.world.instances[context.keeper].keepers.greet(context.sender)


@behave.when('its end is lost, and {seconds:d} seconds pass')
def lose_end(context, seconds):
    context.world.now += seconds
    context.world.instances[context.keeper].keepers.purge()


@behave.then('the keeper counts nothing at that engine')
def check_nothing(context):
    engine = _find_engine(context, context.keeper, context.place.server.name)
    assert engine.all_running == 0, engine.all_running
    assert engine.all_held == 0, engine.all_held
    assert engine.queue.read_backlog(context.world.now) == 0


@behave.when('{count:d} prompts come, and one engine fails all that it gets')
def fail_many(context, count):
    world = context.world
    context.failing = world.servers[0].name
    context.lost = 0
    for number in range(count):
        instance = world.instances[world.names[number % 3]]
        need = _build_need(world, f'session-{number}', 100)
        place = instance.keepers.reserve(need)
        if place.server.name == context.failing:
            context.lost += 1
            place.fail()
        else:
            place.start()
            place.succeed()


@behave.then('{count:d} prompts are lost at most')
def check_lost(context, count):
    assert 0 < context.lost <= count, context.lost


@behave.then('no instance sends a prompt there')
def check_avoided(context):
    for name, instance in context.world.instances.items():
        for number in range(12):
            need = _build_need(context.world, f'again-{number}', 100)
            place = instance.keepers.reserve(need)
            assert place.server.name != context.failing, name
            place.cancel()


@behave.when('a prompt is sent to its engine and read')
def send_and_read(context):
    instance = context.world.instances['one']
    context.need = _build_need(context.world, 'session', 100)
    place = instance.keepers.reserve(context.need)
    context.read_first = place.unread
    context.server = place.server
    place.start()
    place.succeed()
    again = instance.keepers.reserve(context.need)
    assert again.server.name == place.server.name
    assert again.unread < 100, again.unread
    again.cancel()


@behave.when('that engine starts again under its name')
def restart_engine(context):
    old = context.server
    instance = context.world.instances['one']
    instance.directory.put(
        patterns.build_server(int(old.name.rpartition('-')[2]), incarnation=2)
    )


@behave.then('the same prompt counts as unread there')
def check_unread(context):
    instance = context.world.instances['one']
    place = instance.keepers.reserve(context.need)
    assert place.server.name == context.server.name
    assert place.unread == context.read_first, place.unread


@behave.when(
    'a third instance places prompts, and its keeper answers too late'
)
def answer_late(context):
    world = context.world
    world.lost = 'PlaceAnswer'
    send_third(context)
    world.lost = ''
    for sender, name, message in world.late:
        world.instances[name].keepers.receive(sender, message)


@behave.then("that instance knows of the other's request at that engine")
def check_known(context):
    known = {context.sender, context.keeper}
    (third,) = [name for name in context.world.names if name not in known]
    engine = _find_engine(context, third, context.place.server.name)
    assert engine.others_running == 1, engine.others_running
    assert engine.queue.read_backlog(context.world.now) > 20000
