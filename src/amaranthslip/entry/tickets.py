"""Builds the tickets by which the scheduler dispatches calls."""

import typing

from amaranthslip.entry import calls
from amaranthslip.entry import prefixes
from amaranthslip.requests import tickets

# Approximate characters per token of English or Portuguese text, for estimates
# before the answer reports the actual token count.
_CHARACTERS_PER_TOKEN = 4
# Cost charged for a request of a plain service, in the unit of a token.
PLAIN_COST = 1.0


def build_ticket(call: calls.Call, estimator: typing.Any) -> tickets.Ticket:
    """Return the ticket for the next try of a call.

    The cost of a model request is estimated from the length of its prompt.

    Parameters
    ----------
    call : Call
        The request to run.
    estimator : object
        `estimate(client_account, kind, prompt_tokens)` returns the expected
        cost in tokens.
    """
    estimate, hashes = PLAIN_COST, ()
    if call.values is not None:
        prompt = prefixes.render_prompt(call.values)
        hashes = prefixes.hash_prefixes(prompt)
        prompt_tokens = len(prompt) / _CHARACTERS_PER_TOKEN
        estimate = estimator.estimate(
            call.account.name,
            call.kind.name,
            prompt_tokens * call.service.prompt_weight,
        )
    return tickets.Ticket(
        request_id=call.request_id,
        service=call.service.name,
        client_account=call.account.name,
        kind=call.kind.name,
        estimate=estimate,
        deadline=call.deadline,
        prefix_hashes=hashes,
        excluded=call.excluded,
    )
