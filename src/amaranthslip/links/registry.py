"""Registration of all inter-instance message classes with the codec."""

from amaranthslip.configuration import messages as configuration_messages
from amaranthslip.links import codec
from amaranthslip.members import messages as member_messages
from amaranthslip.members import usage_messages
from amaranthslip.requests import claim_messages
from amaranthslip.requests import crash_messages
from amaranthslip.requests import part_messages
from amaranthslip.requests import return_messages
from amaranthslip.requests import stream_messages
from amaranthslip.shares import load_messages
from amaranthslip.shares import messages as share_messages


def register_all() -> None:
    """Register the message classes of all packages; idempotent."""
    codec.register(member_messages.Hello)
    codec.register(member_messages.Probe, news=member_messages.News)
    codec.register(member_messages.ProbeAnswer, news=member_messages.News)
    codec.register(member_messages.ProbeRequest)
    codec.register(usage_messages.InstanceUsage)
    codec.register(usage_messages.IdlePeers, peers=usage_messages.PeerUsage)
    codec.register(share_messages.Want)
    codec.register(share_messages.SlotGrant)
    codec.register(share_messages.Finish)
    codec.register(share_messages.Charge)
    codec.register(share_messages.Held)
    codec.register(share_messages.Reset)
    codec.register(share_messages.Restate)
    codec.register(share_messages.Confirm)
    codec.register(share_messages.Digest)
    codec.register(share_messages.Own)
    codec.register(load_messages.PlaceAsk)
    codec.register(load_messages.PlaceAnswer)
    codec.register(load_messages.PlaceStarted)
    codec.register(load_messages.PlaceEnded)
    codec.register(load_messages.PlacesHeld)
    codec.register(load_messages.ServerEjected)
    for demand_message in (
        load_messages.DemandReport,
        load_messages.DemandLevel,
    ):
        codec.register(
            demand_message,
            accounts=load_messages.AccountDemand,
            estimates=load_messages.ServerState,
        )
    codec.register(
        configuration_messages.StoreChanges,
        entries=configuration_messages.StoreEntry,
    )
    codec.register(configuration_messages.StoreStamp)
    codec.register(configuration_messages.StoreUnreachable)
    codec.register(
        crash_messages.CrashReports, reports=crash_messages.CrashReport
    )
    codec.register(crash_messages.RequestCompleted)
    codec.register(
        part_messages.SuspectReports, reports=part_messages.SuspectReport
    )
    codec.register(part_messages.PartCompleted)
    codec.register(stream_messages.StreamBegun)
    codec.register(stream_messages.StreamQuery)
    codec.register(
        stream_messages.StreamAnswer, versions=stream_messages.RecentVersion
    )
    codec.register(
        stream_messages.SoftwareVersions,
        versions=stream_messages.RecentVersion,
    )
    codec.register(return_messages.TurnKept)
    codec.register(return_messages.TurnAsk)
    codec.register(return_messages.TurnAnswer)
    codec.register(claim_messages.ClaimRequest)
    codec.register(claim_messages.ClaimAnswer)
    codec.register(claim_messages.ClaimSettlement)
    codec.register(claim_messages.ClaimSettled)
    codec.register(configuration_messages.VersionRequest)
    codec.register(configuration_messages.VersionNotice)
    codec.register(configuration_messages.ManifestRequest)
    codec.register(configuration_messages.ManifestAnswer)
    codec.register(configuration_messages.PartRequest)
    codec.register(configuration_messages.PartAnswer)
