"""Thrift structs of the messages between instances.

Generated from ``peers.thrift`` by ``tools/generate_structs.py``; not edited by hand.
"""

from thriftpy2.thrift import TPayload, TType


class Hello(TPayload):
    """Struct ``Hello`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.I32, "version", False),
        2: (TType.STRING, "instance", False),
        3: (TType.STRING, "data_centre", False),
        4: (TType.BINARY, "nonce", False),
        5: (TType.BINARY, "proof", False),
    }
    default_spec = [  # noqa: RUF012
        ("version", None),
        ("instance", None),
        ("data_centre", None),
        ("nonce", None),
        ("proof", None),
    ]


class Head(TPayload):
    """Struct ``Head`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.I64, "generation", False),
        2: (TType.STRING, "root", False),
        3: (TType.STRING, "edit", False),
    }
    default_spec = [  # noqa: RUF012
        ("generation", None),
        ("root", None),
        ("edit", None),
    ]


class MemberEntry(TPayload):
    """Struct ``MemberEntry`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "name", False),
        2: (TType.I64, "incarnation", False),
        3: (TType.I64, "heartbeat", False),
        4: (TType.I32, "state", False),
        5: (TType.I64, "generation", False),
        6: (TType.STRING, "address", False),
        7: (TType.STRING, "data_centre", False),
    }
    default_spec = [  # noqa: RUF012
        ("name", None),
        ("incarnation", None),
        ("heartbeat", None),
        ("state", None),
        ("generation", None),
        ("address", None),
        ("data_centre", None),
    ]


class DataCentreSummary(TPayload):
    """Struct ``DataCentreSummary`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "data_centre", False),
        2: (TType.STRING, "author", False),
        3: (TType.I64, "incarnation", False),
        4: (TType.I64, "heartbeat", False),
        5: (TType.I32, "live", False),
        6: (TType.I64, "generation", False),
        7: (TType.LIST, "behind", TType.STRING, False),
        8: (TType.LIST, "bridges", (TType.STRUCT, MemberEntry), False),
    }
    default_spec = [  # noqa: RUF012
        ("data_centre", None),
        ("author", None),
        ("incarnation", None),
        ("heartbeat", None),
        ("live", None),
        ("generation", None),
        ("behind", None),
        ("bridges", None),
    ]


class LeavingTarget(TPayload):
    """Struct ``LeavingTarget`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "target", False),
        2: (TType.STRING, "incarnation", False),
    }
    default_spec = [  # noqa: RUF012
        ("target", None),
        ("incarnation", None),
    ]


class Gossip(TPayload):
    """Struct ``Gossip`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRUCT, "sender", MemberEntry, False),
        2: (TType.LIST, "members", (TType.STRUCT, MemberEntry), False),
        3: (TType.LIST, "summaries", (TType.STRUCT, DataCentreSummary), False),
        4: (TType.LIST, "leaving", (TType.STRUCT, LeavingTarget), False),
        5: (TType.STRUCT, "head", Head, False),
        6: (TType.BOOL, "wants_answer", False),
    }
    default_spec = [  # noqa: RUF012
        ("sender", None),
        ("members", None),
        ("summaries", None),
        ("leaving", None),
        ("head", None),
        ("wants_answer", None),
    ]


class ItemDemand(TPayload):
    """Struct ``ItemDemand`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "name", False),
        2: (TType.STRING, "version", False),
        3: (TType.I64, "requests", False),
        4: (TType.I64, "tokens", False),
        5: (TType.I64, "waiting", False),
        6: (TType.I64, "live", False),
        7: (TType.I64, "running", False),
    }
    default_spec = [  # noqa: RUF012
        ("name", None),
        ("version", None),
        ("requests", None),
        ("tokens", None),
        ("waiting", None),
        ("live", None),
        ("running", None),
    ]


class CopyEntry(TPayload):
    """Struct ``CopyEntry`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "target", False),
        2: (TType.STRING, "name", False),
        3: (TType.STRING, "version", False),
    }
    default_spec = [  # noqa: RUF012
        ("target", None),
        ("name", None),
        ("version", None),
    ]


class Load(TPayload):
    """Struct ``Load`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "instance", False),
        2: (TType.STRING, "data_centre", False),
        3: (TType.STRING, "incarnation", False),
        4: (TType.I64, "sequence", False),
        5: (TType.MAP, "in_flight", (TType.STRING, TType.I64), False),
        6: (TType.LIST, "demand", (TType.STRUCT, ItemDemand), False),
        7: (TType.LIST, "shards", TType.STRING, False),
        8: (TType.LIST, "retiring", (TType.STRUCT, CopyEntry), False),
    }
    default_spec = [  # noqa: RUF012
        ("instance", None),
        ("data_centre", None),
        ("incarnation", None),
        ("sequence", None),
        ("in_flight", None),
        ("demand", None),
        ("shards", None),
        ("retiring", None),
    ]


class Rumour(TPayload):
    """Struct ``Rumour`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRUCT, "sender", MemberEntry, False),
        2: (TType.STRUCT, "head", Head, False),
        3: (TType.LIST, "leaving", (TType.STRUCT, LeavingTarget), False),
        4: (TType.LIST, "members", (TType.STRUCT, MemberEntry), False),
    }
    default_spec = [  # noqa: RUF012
        ("sender", None),
        ("head", None),
        ("leaving", None),
        ("members", None),
    ]


class DocumentsAsked(TPayload):
    """Struct ``DocumentsAsked`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRUCT, "sender", MemberEntry, False),
        2: (TType.LIST, "names", TType.STRING, False),
    }
    default_spec = [  # noqa: RUF012
        ("sender", None),
        ("names", None),
    ]


class NamedDocument(TPayload):
    """Struct ``NamedDocument`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "name", False),
        2: (TType.BINARY, "content", False),
    }
    default_spec = [  # noqa: RUF012
        ("name", None),
        ("content", None),
    ]


class DocumentsSent(TPayload):
    """Struct ``DocumentsSent`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRUCT, "sender", MemberEntry, False),
        2: (TType.LIST, "documents", (TType.STRUCT, NamedDocument), False),
        3: (TType.LIST, "missing", TType.STRING, False),
    }
    default_spec = [  # noqa: RUF012
        ("sender", None),
        ("documents", None),
        ("missing", None),
    ]


class AdapterWanted(TPayload):
    """Struct ``AdapterWanted`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "target", False),
        2: (TType.STRING, "name", False),
        3: (TType.STRING, "version", False),
        4: (TType.STRING, "shard", False),
        5: (TType.I32, "hops", False),
    }
    default_spec = [  # noqa: RUF012
        ("target", None),
        ("name", None),
        ("version", None),
        ("shard", None),
        ("hops", None),
    ]


class BegunStreams(TPayload):
    """Struct ``BegunStreams`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "software", False),
        2: (TType.LIST, "digests", TType.STRING, False),
    }
    default_spec = [  # noqa: RUF012
        ("software", None),
        ("digests", None),
    ]


class LimitedTarget(TPayload):
    """Struct ``LimitedTarget`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "target", False),
        2: (TType.I64, "incarnation", False),
        3: (TType.I64, "limit_per_1000_s", False),
        4: (TType.BOOL, "ended", False),
        5: (TType.I64, "age_ms", False),
        6: (TType.I64, "waiting", False),
        7: (TType.I64, "wanted", False),
        8: (TType.I64, "used", False),
        9: (TType.I64, "expired", False),
        10: (TType.I64, "oldest_ms", False),
    }
    default_spec = [  # noqa: RUF012
        ("target", None),
        ("incarnation", None),
        ("limit_per_1000_s", None),
        ("ended", None),
        ("age_ms", None),
        ("waiting", None),
        ("wanted", None),
        ("used", None),
        ("expired", None),
        ("oldest_ms", None),
    ]


class TargetPermits(TPayload):
    """Struct ``TargetPermits`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "target", False),
        2: (TType.I64, "incarnation", False),
        3: (TType.I64, "count", False),
    }
    default_spec = [  # noqa: RUF012
        ("target", None),
        ("incarnation", None),
        ("count", None),
    ]


class PermitsIssued(TPayload):
    """Struct ``PermitsIssued`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "holder", False),
        2: (TType.I64, "fence", False),
        3: (TType.LIST, "permits", (TType.STRUCT, TargetPermits), False),
    }
    default_spec = [  # noqa: RUF012
        ("holder", None),
        ("fence", None),
        ("permits", None),
    ]


class QuotaTotal(TPayload):
    """Struct ``QuotaTotal`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "customer", False),
        2: (TType.I64, "used", False),
        3: (TType.I64, "free", False),
    }
    default_spec = [  # noqa: RUF012
        ("customer", None),
        ("used", None),
        ("free", None),
    ]


class QuotaAllowance(TPayload):
    """Struct ``QuotaAllowance`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "customer", False),
        2: (TType.I64, "units", False),
        3: (TType.I64, "free", False),
    }
    default_spec = [  # noqa: RUF012
        ("customer", None),
        ("units", None),
        ("free", None),
    ]


class QuotaGrants(TPayload):
    """Struct ``QuotaGrants`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "holder", False),
        2: (TType.I64, "fence", False),
        3: (TType.I64, "number", False),
        4: (TType.I64, "sequence", False),
        5: (TType.I64, "instances", False),
        6: (TType.LIST, "allowances", (TType.STRUCT, QuotaAllowance), False),
    }
    default_spec = [  # noqa: RUF012
        ("holder", None),
        ("fence", None),
        ("number", None),
        ("sequence", None),
        ("instances", None),
        ("allowances", None),
    ]


class EntryReport(TPayload):
    """Struct ``EntryReport`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "instance", False),
        2: (TType.STRING, "address", False),
        3: (TType.STRING, "incarnation", False),
        4: (TType.I64, "sequence", False),
        5: (TType.MAP, "waiting", (TType.STRING, TType.I64), False),
        6: (TType.MAP, "running", (TType.STRING, TType.I64), False),
        7: (TType.MAP, "fast_rates", (TType.STRING, TType.I64), False),
        8: (TType.MAP, "slow_rates", (TType.STRING, TType.I64), False),
        9: (TType.MAP, "pressing_rates", (TType.STRING, TType.I64), False),
        10: (TType.LIST, "unreached", TType.STRING, False),
        11: (TType.LIST, "leaving", (TType.STRUCT, LeavingTarget), False),
        12: (TType.MAP, "resuming", (TType.STRING, TType.I64), False),
        13: (TType.LIST, "begun", (TType.STRUCT, BegunStreams), False),
        14: (TType.LIST, "limited", (TType.STRUCT, LimitedTarget), False),
        15: (TType.BINARY, "quota_use", False),
        16: (TType.I64, "quota_grant", False),
        17: (TType.I64, "config_version", False),
        18: (TType.I64, "quota_instances", False),
    }
    default_spec = [  # noqa: RUF012
        ("instance", None),
        ("address", None),
        ("incarnation", None),
        ("sequence", None),
        ("waiting", None),
        ("running", None),
        ("fast_rates", None),
        ("slow_rates", None),
        ("pressing_rates", None),
        ("unreached", None),
        ("leaving", None),
        ("resuming", None),
        ("begun", None),
        ("limited", None),
        ("quota_use", None),
        ("quota_grant", None),
        ("config_version", None),
        ("quota_instances", None),
    ]


class HeldItems(TPayload):
    """Struct ``HeldItems`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "target", False),
        2: (TType.I64, "incarnation", False),
        3: (TType.LIST, "items", TType.STRING, False),
        5: (TType.I64, "running", False),
    }
    default_spec = [  # noqa: RUF012
        ("target", None),
        ("incarnation", None),
        ("items", None),
        ("running", None),
    ]


class StoreProgress(TPayload):
    """Struct ``StoreProgress`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "kind", False),
        2: (TType.I64, "era", False),
        3: (TType.I64, "changed", False),
        4: (TType.I64, "revision", False),
        5: (TType.I64, "age_ms", False),
    }
    default_spec = [  # noqa: RUF012
        ("kind", None),
        ("era", None),
        ("changed", None),
        ("revision", None),
        ("age_ms", None),
    ]


class StoreChanges(TPayload):
    """Struct ``StoreChanges`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "kind", False),
        2: (TType.I64, "era", False),
        3: (TType.I64, "since", False),
        4: (TType.I64, "revision", False),
        5: (TType.BOOL, "certain", False),
        6: (TType.BINARY, "content", False),
    }
    default_spec = [  # noqa: RUF012
        ("kind", None),
        ("era", None),
        ("since", None),
        ("revision", None),
        ("certain", None),
        ("content", None),
    ]


class FleetView(TPayload):
    """Struct ``FleetView`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "holder", False),
        2: (TType.I64, "fence", False),
        3: (TType.I64, "sequence", False),
        4: (TType.I64, "instances", False),
        5: (TType.LIST, "held", (TType.STRUCT, HeldItems), False),
        6: (TType.MAP, "coming_ms", (TType.STRING, TType.I64), False),
        7: (TType.BOOL, "ended", False),
        8: (TType.LIST, "peers", TType.STRING, False),
        9: (TType.MAP, "reported", (TType.STRING, TType.I64), False),
        10: (TType.LIST, "store", (TType.STRUCT, StoreProgress), False),
        11: (TType.BOOL, "partial", False),
        13: (TType.BOOL, "keeps_origins", False),
        14: (TType.LIST, "limited", (TType.STRUCT, LimitedTarget), False),
        15: (TType.LIST, "quota_use", (TType.STRUCT, QuotaTotal), False),
        17: (TType.I64, "config_version", False),
    }
    default_spec = [  # noqa: RUF012
        ("holder", None),
        ("fence", None),
        ("sequence", None),
        ("instances", None),
        ("held", None),
        ("coming_ms", None),
        ("ended", None),
        ("peers", None),
        ("reported", None),
        ("store", None),
        ("partial", None),
        ("keeps_origins", None),
        ("limited", None),
        ("quota_use", None),
        ("config_version", None),
    ]


class PromptsSent(TPayload):
    """Struct ``PromptsSent`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "instance", False),
        2: (TType.MAP, "tokens", (TType.STRING, TType.I64), False),
        3: (TType.MAP, "work_ms", (TType.STRING, TType.I64), False),
    }
    default_spec = [  # noqa: RUF012
        ("instance", None),
        ("tokens", None),
        ("work_ms", None),
    ]


class StreamOriginAsked(TPayload):
    """Struct ``StreamOriginAsked`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "request_id", False),
        2: (TType.STRING, "address", False),
    }
    default_spec = [  # noqa: RUF012
        ("request_id", None),
        ("address", None),
    ]


class StreamOriginTold(TPayload):
    """Struct ``StreamOriginTold`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "request_id", False),
        2: (TType.STRING, "software", False),
    }
    default_spec = [  # noqa: RUF012
        ("request_id", None),
        ("software", None),
    ]


class CrashedRequest(TPayload):
    """Struct ``CrashedRequest`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "request_id", False),
        2: (TType.LIST, "parts", TType.STRING, False),
        3: (TType.I64, "sent_ago_ms", False),
    }
    default_spec = [  # noqa: RUF012
        ("request_id", None),
        ("parts", None),
        ("sent_ago_ms", None),
    ]


class TargetCrashed(TPayload):
    """Struct ``TargetCrashed`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRING, "target", False),
        2: (TType.I64, "incarnation", False),
        3: (TType.I64, "age_ms", False),
        4: (TType.LIST, "requests", (TType.STRUCT, CrashedRequest), False),
    }
    default_spec = [  # noqa: RUF012
        ("target", None),
        ("incarnation", None),
        ("age_ms", None),
        ("requests", None),
    ]


class PartsHarmless(TPayload):
    """Struct ``PartsHarmless`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.MAP, "ages_ms", (TType.STRING, TType.I64), False),
    }
    default_spec = [  # noqa: RUF012
        ("ages_ms", None),
    ]


class QuarantinedParts(TPayload):
    """Struct ``QuarantinedParts`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.LIST, "parts", TType.STRING, False),
        2: (TType.I64, "age_ms", False),
    }
    default_spec = [  # noqa: RUF012
        ("parts", None),
        ("age_ms", None),
    ]


class PartsQuarantined(TPayload):
    """Struct ``PartsQuarantined`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.LIST, "quarantines", (TType.STRUCT, QuarantinedParts), False),
        2: (TType.STRING, "address", False),
    }
    default_spec = [  # noqa: RUF012
        ("quarantines", None),
        ("address", None),
    ]


class Frame(TPayload):
    """Struct ``Frame`` of the IDL."""

    thrift_spec = {  # noqa: RUF012
        1: (TType.STRUCT, "hello", Hello, False),
        2: (TType.STRUCT, "gossip", Gossip, False),
        3: (TType.STRUCT, "load", Load, False),
        4: (TType.STRUCT, "rumour", Rumour, False),
        5: (TType.STRUCT, "documents_asked", DocumentsAsked, False),
        6: (TType.STRUCT, "documents_sent", DocumentsSent, False),
        7: (TType.STRUCT, "adapter_wanted", AdapterWanted, False),
        8: (TType.STRUCT, "entry_report", EntryReport, False),
        9: (TType.STRUCT, "fleet_view", FleetView, False),
        10: (TType.STRUCT, "prompts_sent", PromptsSent, False),
        11: (TType.STRUCT, "stream_origin_asked", StreamOriginAsked, False),
        12: (TType.STRUCT, "stream_origin_told", StreamOriginTold, False),
        13: (TType.STRUCT, "store_changes", StoreChanges, False),
        14: (TType.STRUCT, "target_crashed", TargetCrashed, False),
        15: (TType.STRUCT, "parts_harmless", PartsHarmless, False),
        16: (TType.STRUCT, "parts_quarantined", PartsQuarantined, False),
        17: (TType.STRUCT, "permits_issued", PermitsIssued, False),
        18: (TType.STRUCT, "quota_grants", QuotaGrants, False),
    }
    default_spec = [  # noqa: RUF012
        ("hello", None),
        ("gossip", None),
        ("load", None),
        ("rumour", None),
        ("documents_asked", None),
        ("documents_sent", None),
        ("adapter_wanted", None),
        ("entry_report", None),
        ("fleet_view", None),
        ("prompts_sent", None),
        ("stream_origin_asked", None),
        ("stream_origin_told", None),
        ("store_changes", None),
        ("target_crashed", None),
        ("parts_harmless", None),
        ("parts_quarantined", None),
        ("permits_issued", None),
        ("quota_grants", None),
    ]
