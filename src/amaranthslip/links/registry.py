"""Every message class that instances exchange, made known to the codec."""

from amaranthslip.links import codec
from amaranthslip.members import messages as member_messages
from amaranthslip.requests import claim_messages


def register_all() -> None:
    """Register the messages of all aggregates; harmless when repeated."""
    codec.register(member_messages.Hello)
    codec.register(member_messages.Probe, news=member_messages.News)
    codec.register(member_messages.ProbeAnswer, news=member_messages.News)
    codec.register(member_messages.ProbeRequest)
    codec.register(claim_messages.ClaimRequest)
    codec.register(claim_messages.ClaimAnswer)
    codec.register(claim_messages.ClaimSettlement)
    codec.register(claim_messages.ClaimSettled)
