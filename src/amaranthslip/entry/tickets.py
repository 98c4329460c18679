"""Tickets: what the dispatch decision gets to know of a call."""

import typing

from amaranthslip.entry import calls
from amaranthslip.entry import prefixes
from amaranthslip.requests import tickets

# Characters of English or Portuguese text that make one token, roughly; the
# actual count comes with the answer.
_CHARACTERS_PER_TOKEN = 4
# What a plain service's request costs.
PLAIN_COST = 1.0


def build_ticket(call: calls.Call, estimator: typing.Any) -> tickets.Ticket:
    """Return the ticket for the next try of a call."""
    estimate, hashes = PLAIN_COST, ()
    if call.values is not None:
        prompt = prefixes.write_prompt(call.values)
        hashes = prefixes.hash_prefixes(prompt)
        tokens = len(prompt) / _CHARACTERS_PER_TOKEN
        estimate = estimator.estimate(
            call.account.name,
            call.kind.name,
            tokens * call.service.prompt_weight,
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
