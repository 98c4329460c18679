"""Steps about the evidence against parts of prompts, in virtual time."""

import itertools

import behave

from amaranthslip.requests import fingerprints
from amaranthslip.requests import part_crashes
from amaranthslip.requests import suspects
from bench import part_histories

_CRASH_INTERVAL_SECONDS = 1.0
_PROPAGATION_SECONDS = 0.5
_REWRITE_SECONDS = 20.0
_SEND_INTERVAL_SECONDS = 0.5
_RUN_SECONDS = 0.1


@behave.when('{count:d} random histories of a fleet are played')
def play_histories(context, count):
    context.histories = part_histories.play_all(
        suspects.Suspects, range(1, count + 1)
    )


@behave.then(
    'in each at most {count:d} requests with the part reach engines too late'
)
def check_late_runs(context, count):
    late = [each.count_late_runs() for each in context.histories]
    assert max(late) <= count, late
    assert any(each.crashes for each in context.histories)


@behave.then('of the sound requests less than 1 in {count:d} is refused')
def check_sound_refused(context, count):
    counts = [each.count_sound() for each in context.histories]
    total = sum(each.total() for each in counts)
    refused = sum(each['refused'] for each in counts)
    assert refused * count < total, (refused, total)


@behave.given('a fleet of instances that know of no crash')
def start_fleet(context):
    context.fleet = part_histories.Fleet(suspects.Suspects, 1)
    context.numbers = itertools.count(1)
    context.further_crashes = 0


def _build_sent_parts(account, parts):
    return part_crashes.SentParts(
        fingerprints.compute_account_digest(account),
        fingerprints.compute_part_digests('s', parts),
    )


def _crash(context, account, parts, *, name=None):
    """Report the crash of one more engine under a request at an instance."""
    fleet = context.fleet
    number = next(context.numbers)
    name = name or fleet.names[number % len(fleet.names)]
    sent_parts = _build_sent_parts(account, parts)
    fleet.running[name].exchange.report(
        sent_parts,
        f'engine-{number}',
        number,
        crashed_at=fleet.now,
        sent_at=fleet.now - _RUN_SECONDS,
    )


@behave.when(
    '{count:d} engines crash under requests of "{account}" with the part'
    ' "{part}"'
)
def crash_engines(context, count, account, part):
    for _ in range(count):
        _crash(context, account, [part])
        context.fleet.run_for(_CRASH_INTERVAL_SECONDS)


@behave.when(
    '{count:d} engines crash under requests of "{account}" with the part'
    ' "{part}" and one of its own'
)
def crash_engines_abusively(context, count, account, part):
    for number in range(count):
        _crash(context, account, [part, f'own-{number}'])
        context.fleet.run_for(_CRASH_INTERVAL_SECONDS)


@behave.when(
    '{count:d} engines crash under requests of "{account}" with {parts:d}'
    ' parts of their own'
)
def crash_engines_with_many_parts(context, count, account, parts):
    for number in range(count):
        _crash(
            context, account, [f'own-{number}-{part}' for part in range(parts)]
        )
        context.fleet.run_for(0.3)


@behave.when(
    'an engine crashes under a request of each of "{first}", "{second}" and'
    ' "{third}" with the part "{part}"'
)
def crash_under_each(context, first, second, third, part):
    for account in (first, second, third):
        crash_engines(context, 1, account, part)


@behave.when(
    '{count:d} engines end at the same moment under requests of "{account}"'
    ' with the part "{part}"'
)
def end_together(context, count, account, part):
    for _ in range(count):
        _crash(context, account, [part])
    context.fleet.run_for(_PROPAGATION_SECONDS)


@behave.when(
    'one engine ends under requests of "{account}" with the part "{part}", and'
    ' each instance reports it {seconds:d} s after another'
)
def report_late(context, account, part, seconds):
    fleet = context.fleet
    for name in fleet.names:
        fleet.running[name].exchange.report(
            _build_sent_parts(account, [part]),
            'engine',
            0,
            crashed_at=fleet.now,
            sent_at=fleet.now - _RUN_SECONDS,
        )
        fleet.run_for(seconds)


@behave.when(
    'an answer to a request of "{account}" with the part "{part}" is completed'
)
def complete(context, account, part):
    fleet = context.fleet
    name = fleet.names[0]
    fleet.running[name].exchange.complete(_build_sent_parts(account, [part]))
    fleet.run_for(_PROPAGATION_SECONDS)


def _list_admitting(context, account, part):
    """Return the instances that admit a request with a part."""
    return [
        name
        for name, instance in context.fleet.running.items()
        if instance.admits(_build_sent_parts(account, ['other', part]))
    ]


@behave.then(
    'each instance refuses requests of "{account}" with the part "{part}"'
)
def check_refused(context, account, part):
    admitting = _list_admitting(context, account, part)
    assert not admitting, admitting


@behave.then(
    'each instance admits requests of "{account}" with the part "{part}"'
)
def check_admitted(context, account, part):
    admitting = _list_admitting(context, account, part)
    assert admitting == context.fleet.names, admitting


@behave.then('no instance keeps crashes under the part "{part}"')
def check_cleared(context, part):
    (digest,) = fingerprints.compute_part_digests('s', [part])
    for instance in context.fleet.running.values():
        parts = [each for each, _ in instance.suspects.list_all_crashes()]
        assert digest not in parts, instance.name


@behave.then('the instances keep no more than {count:d} parts')
def check_parts_kept(context, count):
    for instance in context.fleet.running.values():
        parts = {each for each, _ in instance.suspects.list_all_crashes()}
        assert len(parts) <= count, len(parts)


@behave.when('the store is copied')
def copy_store(context):
    context.fleet.store.take_copy()


@behave.when('the instances read and write the store')
def synchronize(context):
    for instance in context.fleet.running.values():
        instance.synchronize()


@behave.when('the operator deletes the entries of refused parts')
def delete_entries(context):
    # All instances have read the entries before.
    synchronize(context)
    assert context.fleet.store.entries
    context.fleet.store.entries.clear()
    synchronize(context)


@behave.when('all instances are replaced')
def replace_all(context):
    fleet = context.fleet
    for name in fleet.names:
        fleet.running[name] = part_histories.Instance(fleet, name)
    synchronize(context)


@behave.when('the store is restored from the copy')
def restore_store(context):
    context.fleet.store.restore()
    for instance in context.fleet.running.values():
        instance.synchronize(restored=True)


@behave.when('the store is restored, and all are replaced 20 s after that')
def restore_and_replace(context):
    fleet = context.fleet
    restore_store(context)
    fleet.run_for(_REWRITE_SECONDS)
    for instance in fleet.running.values():
        instance.stored._enqueue_rewrites()
        instance.synchronize()
    replace_all(context)


@behave.when('no instance reaches another one')
def cut_all(context):
    context.fleet.cut.update(context.fleet.names)


@behave.when(
    'requests of "{account}" with the part "{part}" are sent to all instances'
    ' for {seconds:d} seconds, and {outcome}'
)
def send_to_all(context, account, part, seconds, outcome):
    fleet = context.fleet
    for _ in range(int(seconds / _SEND_INTERVAL_SECONDS)):
        synchronize(context)
        for name, instance in fleet.running.items():
            sent_parts = _build_sent_parts(account, [part])
            if not instance.admits(sent_parts):
                continue
            if outcome == 'crash engines':
                context.further_crashes += 1
                _crash(context, account, [part], name=name)
            else:
                instance.exchange.complete(sent_parts)
        synchronize(context)
        fleet.run_for(_SEND_INTERVAL_SECONDS)


@behave.then('{count:d} more engine has crashed')
def check_further_crashes(context, count):
    assert context.further_crashes == count, context.further_crashes
