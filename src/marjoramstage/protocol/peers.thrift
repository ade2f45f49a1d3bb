// Messages between instances, in Thrift's compact encoding.
//
// All fields are optional and unknown fields are skipped, so that instances of
// adjacent versions are compatible. Field numbers are never reused.

struct Hello {
  1: optional i32 version
  2: optional string instance
  3: optional string data_centre
  4: optional binary nonce
  5: optional binary proof
}

struct Head {
  1: optional i64 generation
  2: optional string root
  3: optional string edit
}

struct MemberEntry {
  1: optional string name
  2: optional i64 incarnation
  3: optional i64 heartbeat
  4: optional i32 state
  5: optional i64 generation
  6: optional string address
  7: optional string data_centre
}

struct DataCentreSummary {
  1: optional string data_centre
  2: optional string author
  3: optional i64 incarnation
  4: optional i64 heartbeat
  5: optional i32 live
  6: optional i64 generation
  7: optional list<string> behind
  8: optional list<MemberEntry> bridges
}

struct LeavingTarget {
  1: optional string target
  2: optional string incarnation
}

struct Gossip {
  1: optional MemberEntry sender
  2: optional list<MemberEntry> members
  3: optional list<DataCentreSummary> summaries
  4: optional list<LeavingTarget> leaving
  5: optional Head head
  6: optional bool wants_answer
}

struct ItemDemand {
  1: optional string name
  2: optional string version
  3: optional i64 requests
  4: optional i64 tokens
  5: optional i64 waiting
  6: optional i64 live
  7: optional i64 running
}

struct CopyEntry {
  1: optional string target
  2: optional string name
  3: optional string version
}

struct Load {
  1: optional string instance
  2: optional string data_centre
  3: optional string incarnation
  4: optional i64 sequence
  5: optional map<string, i64> in_flight
  6: optional list<ItemDemand> demand
  7: optional list<string> shards
  8: optional list<CopyEntry> retiring
}

struct Rumour {
  1: optional MemberEntry sender
  2: optional Head head
  3: optional list<LeavingTarget> leaving
  4: optional list<MemberEntry> members
}

struct DocumentsAsked {
  1: optional MemberEntry sender
  2: optional list<string> names
}

struct NamedDocument {
  1: optional string name
  2: optional binary content
}

struct DocumentsSent {
  1: optional MemberEntry sender
  2: optional list<NamedDocument> documents
  3: optional list<string> missing
}

struct AdapterWanted {
  1: optional string target
  2: optional string name
  3: optional string version
  4: optional string shard
  5: optional i32 hops
}

struct BegunStreams {
  1: optional string software
  2: optional list<string> digests
}

struct LimitedTarget {
  1: optional string target
  2: optional i64 incarnation
  3: optional i64 limit_per_1000_s
  4: optional bool ended
  5: optional i64 age_ms
  6: optional i64 waiting
  7: optional i64 wanted
  8: optional i64 used
  9: optional i64 expired
  10: optional i64 oldest_ms
}

struct TargetPermits {
  1: optional string target
  2: optional i64 incarnation
  3: optional i64 count
}

struct PermitsIssued {
  1: optional string holder
  2: optional i64 fence
  3: optional list<TargetPermits> permits
}

struct QuotaTotal {
  1: optional string customer
  2: optional i64 used
  3: optional i64 free
}

struct QuotaAllowance {
  1: optional string customer
  2: optional i64 units
  3: optional i64 free
}

struct QuotaGrants {
  1: optional string holder
  2: optional i64 fence
  3: optional i64 number
  4: optional i64 sequence
  5: optional i64 instances
  6: optional list<QuotaAllowance> allowances
}

struct EntryReport {
  1: optional string instance
  2: optional string address
  3: optional string incarnation
  4: optional i64 sequence
  5: optional map<string, i64> waiting
  6: optional map<string, i64> running
  7: optional map<string, i64> fast_rates
  8: optional map<string, i64> slow_rates
  9: optional map<string, i64> pressing_rates
  10: optional list<string> unreached
  11: optional list<LeavingTarget> leaving
  12: optional map<string, i64> resuming
  13: optional list<BegunStreams> begun
  14: optional list<LimitedTarget> limited
  15: optional binary quota_use
  16: optional i64 quota_grant
  17: optional i64 config_version
  18: optional i64 quota_instances
}

struct HeldItems {
  1: optional string target
  2: optional i64 incarnation
  3: optional list<string> items
  5: optional i64 running
}

struct StoreProgress {
  1: optional string kind
  2: optional i64 era
  3: optional i64 changed
  4: optional i64 revision
  5: optional i64 age_ms
}

struct StoreChanges {
  1: optional string kind
  2: optional i64 era
  3: optional i64 since
  4: optional i64 revision
  5: optional bool certain
  6: optional binary content
}

struct FleetView {
  1: optional string holder
  2: optional i64 fence
  3: optional i64 sequence
  4: optional i64 instances
  5: optional list<HeldItems> held
  6: optional map<string, i64> coming_ms
  7: optional bool ended
  8: optional list<string> peers
  9: optional map<string, i64> reported
  10: optional list<StoreProgress> store
  11: optional bool partial
  13: optional bool keeps_origins
  14: optional list<LimitedTarget> limited
  15: optional list<QuotaTotal> quota_use
  17: optional i64 config_version
}

struct PromptsSent {
  1: optional string instance
  2: optional map<string, i64> tokens
  3: optional map<string, i64> work_ms
}

struct StreamOriginAsked {
  1: optional string request_id
  2: optional string address
}

struct StreamOriginTold {
  1: optional string request_id
  2: optional string software
}

struct CrashedRequest {
  1: optional string request_id
  2: optional list<string> parts
  3: optional i64 sent_ago_ms
}

struct TargetCrashed {
  1: optional string target
  2: optional i64 incarnation
  3: optional i64 age_ms
  4: optional list<CrashedRequest> requests
}

struct PartsHarmless {
  1: optional map<string, i64> ages_ms
}

struct QuarantinedParts {
  1: optional list<string> parts
  2: optional i64 age_ms
}

struct PartsQuarantined {
  1: optional list<QuarantinedParts> quarantines
  2: optional string address
}

// Exactly one field is set.
struct Frame {
  1: optional Hello hello
  2: optional Gossip gossip
  3: optional Load load
  4: optional Rumour rumour
  5: optional DocumentsAsked documents_asked
  6: optional DocumentsSent documents_sent
  7: optional AdapterWanted adapter_wanted
  8: optional EntryReport entry_report
  9: optional FleetView fleet_view
  10: optional PromptsSent prompts_sent
  11: optional StreamOriginAsked stream_origin_asked
  12: optional StreamOriginTold stream_origin_told
  13: optional StoreChanges store_changes
  14: optional TargetCrashed target_crashed
  15: optional PartsHarmless parts_harmless
  16: optional PartsQuarantined parts_quarantined
  17: optional PermitsIssued permits_issued
  18: optional QuotaGrants quota_grants
}
