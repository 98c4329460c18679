"""Every message class that instances exchange, made known to the codec."""

from amaranthslip.links import codec
from amaranthslip.members import messages as member_messages


def register_all() -> None:
    """Register the messages of all aggregates; harmless when repeated."""
    codec.register(member_messages.Hello)
    codec.register(member_messages.Probe, news=member_messages.News)
    codec.register(member_messages.ProbeAnswer, news=member_messages.News)
    codec.register(member_messages.ProbeRequest)
