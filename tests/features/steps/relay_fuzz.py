"""Steps that split and cut streams to the relay at drawn positions."""

import behave
import gevent
import hypothesis
from hypothesis import strategies

from standins import generation
from tests.support import exchanges
from tests.support import sides


_CHUNK_SIZES = strategies.lists(
    strategies.integers(1, 400), min_size=1, max_size=6
)
_CUT_POSITION = strategies.one_of(
    strategies.none(), strategies.integers(0, 3000)
)
_STREAM_PLANS = strategies.builds(
    exchanges.StreamPlan,
    cut=_CUT_POSITION,
    sizes=_CHUNK_SIZES,
    end=strategies.sampled_from(['close', 'reset']),
)
# For each caller, one plan for each of the three engines' answers.
_CALLER_PLANS = strategies.lists(
    strategies.tuples(_STREAM_PLANS, _STREAM_PLANS, _STREAM_PLANS),
    min_size=1,
    max_size=4,
)


@behave.when('streams to the relay are split and cut at many positions')
def relay_drawn_streams(context):
    plans = {}
    engines = [
        sides.close_after_scenario(
            context,
            exchanges.ChunkedEngine(
                lambda text, engine_number=engine_number: plans[text][
                    engine_number
                ]
            ),
        )
        for engine_number in range(3)
    ]
    addresses = [each.address for each in engines]
    side = sides.start(context, engines=addresses)
    context.tally = {'whole': 0, 'refused': 0}

    @hypothesis.settings(
        derandomize=True, max_examples=120, deadline=None, database=None
    )
    @hypothesis.given(_CALLER_PLANS, strategies.booleans())
    def check(plans_by_caller, usage):
        plans.clear()
        values = {}
        for number, caller_plans in enumerate(plans_by_caller):
            text = f'caller {number} ção LENGTH={3 + number}'
            message = {'role': 'user', 'content': text}
            plans[generation.flatten([message])] = caller_plans
            values[number] = exchanges.write_chat(text, stream=True)
            if usage:
                values[number]['stream_options'] = {'include_usage': True}
        greenlets = [
            gevent.spawn(
                exchanges.send_request,
                side,
                'POST',
                '/v1/chat/completions',
                each,
            )
            for each in values.values()
        ]
        gevent.joinall(greenlets, raise_error=True, timeout=20)
        for prompt, greenlet in zip(plans, greenlets, strict=True):
            _check_own_or_error(context, prompt, greenlet.get(), usage)
        assert side.scheduler.in_use == 0

    check()


def _check_own_or_error(context, prompt, received, usage):
    expected = generation.write_answer(prompt)
    if received.status == 200 and received.done:
        assert received.text == expected, (received.body, expected)
        assert received.complete
        assert len({each['id'] for each in received.events}) == 1
        counted = received.body.count(b'"usage"')
        assert counted == (1 if usage else 0), received.body
        context.tally['whole'] += 1
        return
    context.tally['refused'] += 1
    if received.status == 200:
        assert not received.complete, received.body
        *events, last = received.events
        assert last['error']['not_run'] is False
        text = ''.join(
            exchanges.read_text(each['choices'][0])
            for each in events
            if each['choices']
        )
        assert expected.startswith(text), (received.body, expected)
    else:
        assert received.complete and received.error['not_run'] is False


@behave.then('each caller of the relay always got its own answer or an error')
def check_tally(context):
    assert context.tally['whole'] > 50, context.tally
    assert context.tally['refused'] > 5, context.tally
