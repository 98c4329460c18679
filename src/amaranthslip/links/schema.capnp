@0xb7d3a1c04e5f9821;

# Messages between amaranthslip instances. Struct and field names match the
# message classes: the codec copies slots to fields of the same name.
# New messages and fields must only be appended, so that two releases stay
# compatible during a rolling upgrade.

struct Batch {
  messages @0 :List(Message);
}

# View of a batch that exposes only the tags: the union's tag is in the first
# word of a Message. Reading an unknown tag as a Message raises an exception;
# see codec.py.
struct BatchTags {
  messages @0 :List(MessageTag);
}

struct MessageTag {
  tag @0 :UInt16;
}

struct Message {
  union {
    hello @0 :Hello;
    probe @1 :Probe;
    probeAnswer @2 :ProbeAnswer;
    probeRequest @3 :ProbeRequest;
    want @4 :Want;
    slotGrant @5 :SlotGrant;
    finish @6 :Finish;
    charge @7 :Charge;
    held @8 :Held;
    reset @9 :Reset;
    restate @10 :Restate;
    confirm @11 :Confirm;
    digest @12 :Digest;
    claimRequest @13 :ClaimRequest;
    claimAnswer @14 :ClaimAnswer;
    claimSettlement @15 :ClaimSettlement;
    claimSettled @16 :ClaimSettled;
    versionRequest @17 :VersionRequest;
    versionNotice @18 :VersionNotice;
    manifestRequest @19 :ManifestRequest;
    manifestAnswer @20 :ManifestAnswer;
    partRequest @21 :PartRequest;
    partAnswer @22 :PartAnswer;
    own @23 :Own;
    placeAsk @24 :PlaceAsk;
    placeAnswer @25 :PlaceAnswer;
    placeStarted @26 :PlaceStarted;
    placeEnded @27 :PlaceEnded;
    serverEjected @28 :ServerEjected;
    demandReport @29 :DemandReport;
    demandLevel @30 :DemandLevel;
    storeChanges @31 :StoreChanges;
    storeStamp @32 :StoreStamp;
    storeUnreachable @33 :StoreUnreachable;
    crashReports @34 :CrashReports;
    requestCompleted @35 :RequestCompleted;
    streamBegun @36 :StreamBegun;
    streamQuery @37 :StreamQuery;
    streamAnswer @38 :StreamAnswer;
    suspectReports @39 :SuspectReports;
    partCompleted @40 :PartCompleted;
    softwareVersions @41 :SoftwareVersions;
    instanceUsage @42 :InstanceUsage;
    idlePeers @43 :IdlePeers;
    turnKept @44 :TurnKept;
    turnAsk @45 :TurnAsk;
    turnAnswer @46 :TurnAnswer;
    placesHeld @47 :PlacesHeld;
  }
}

struct Hello {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  failureDomain @3 :Text;
  region @4 :Text;
}

struct News {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  failureDomain @3 :Text;
  region @4 :Text;
  state @5 :UInt8;
}

struct Probe {
  number @0 :UInt32;
  news @1 :List(News);
  configVersion @2 :UInt64;
  wantsRoster @3 :Bool;
}

struct ProbeAnswer {
  number @0 :UInt32;
  target @1 :Text;
  news @2 :List(News);
  configVersion @3 :UInt64;
}

struct ProbeRequest {
  number @0 :UInt32;
  target @1 :Text;
}

struct Want {
  service @0 :Text;
  clientAccount @1 :Text;
  count @2 :UInt32;
  age @3 :Float32;
  hint @4 :Float64;
  seen @5 :UInt64;
  estimate @6 :Float32;
  prefer @7 :Text;
  running @8 :UInt32;
}

struct SlotGrant {
  id @0 :UInt64;
  service @1 :Text;
  clientAccount @2 :Text;
  server @3 :Text;
  score @4 :Float64;
}

struct Finish {
  id @0 :UInt64;
  outcome @1 :UInt8;
  pace @2 :Float32;
  seen @3 :UInt64;
}

struct Charge {
  service @0 :Text;
  clientAccount @1 :Text;
  total @2 :Float64;
  base @3 :Float64;
  hint @4 :Float64;
  running @5 :UInt32;
  seen @6 :UInt64;
}

struct Held {
  id @0 :UInt64;
  service @1 :Text;
  clientAccount @2 :Text;
  server @3 :Text;
  estimate @4 :Float32;
}

struct Reset {
  seen @0 :UInt64;
  answers @1 :UInt32;
}

struct Restate {
  number @0 :UInt32;
}

struct Confirm {
  seen @0 :UInt64;
}

struct Digest {
  service @0 :Text;
  level @1 :Float64;
  free @2 :UInt32;
  backlog @3 :UInt32;
}

struct ClaimRequest {
  keyHash @0 :Data;
  claimId @1 :UInt64;
  fingerprint @2 :UInt64;
}

struct ClaimAnswer {
  keyHash @0 :Data;
  claimId @1 :UInt64;
  result @2 :UInt8;
}

struct ClaimSettlement {
  keyHash @0 :Data;
  claimId @1 :UInt64;
  state @2 :UInt8;
  number @3 :UInt32;
}

struct ClaimSettled {
  claimId @0 :UInt64;
  number @1 :UInt32;
}

struct VersionRequest {
  version @0 :UInt64;
}

struct VersionNotice {
  version @0 :UInt64;
  submission @1 :Text;
}

struct ManifestRequest {
  version @0 :UInt64;
}

struct ManifestAnswer {
  version @0 :UInt64;
  data @1 :Data;
}

struct PartRequest {
  digest @0 :Text;
}

struct PartAnswer {
  digest @0 :Text;
  data @1 :Data;
}

struct Own {
  server @0 :Text;
}

struct PlaceAsk {
  number @0 :UInt64;
  server @1 :UInt64;
  unread @2 :Float64;
  held @3 :UInt64;
  uncertain @4 :Float64;
  usualSeconds @5 :Float64;
  queueSeconds @6 :Float64;
  leftSeconds @7 :Float64;
  placed @8 :Bool;
  waits @9 :Bool;
}

struct PlaceAnswer {
  number @0 :UInt64;
  ahead @1 :Float64;
  rate @2 :Float64;
  running @3 :UInt32;
  held @4 :UInt64;
  admitted @5 :Bool;
  congestion @6 :Float64;
  slowdown @7 :Float64;
  limit @8 :UInt32;
  seconds @9 :Float64;
  refused @10 :Bool;
  waits @11 :Bool;
}

struct PlaceStarted {
  number @0 :UInt64;
  running @1 :UInt32;
  waiting @2 :UInt32;
  slots @3 :UInt32;
  slowdown @4 :Float64;
}

struct PlaceEnded {
  number @0 :UInt64;
  server @1 :UInt64;
  succeeded @2 :Bool;
  failed @3 :Bool;
  connected @4 :Bool;
  beganRunning @5 :UInt32;
  seconds @6 :Float64;
  usual @7 :Float64;
  pause @8 :Float64;
  allowedPause @9 :Float64;
  rejected @10 :Bool;
  held @11 :UInt64;
}

struct PlacesHeld {
  server @0 :UInt64;
  running @1 :UInt32;
  held @2 :UInt64;
}

struct ServerEjected {
  server @0 :UInt64;
  seconds @1 :Float64;
}

struct AccountDemand {
  account @0 :UInt64;
  asked @1 :Float64;
  granted @2 :Float64;
  # No longer written.
  unhindered @3 :Float64;
}

struct ServerState {
  server @0 :UInt64;
  incarnation @1 :UInt64;
  rate @2 :Float32;
  congestion @3 :Float32;
  limit @4 :UInt32;
  seconds @5 :Float32;
  running @6 :UInt32;
  held @7 :UInt64;
  backlog @8 :Float32;
  ageMs @9 :UInt32;
}

struct DemandReport {
  accounts @0 :List(AccountDemand);
  number @1 :UInt64;
  servers @2 :Float64;
  busyServers @3 :Float64;
  estimates @4 :List(ServerState);
}

struct DemandLevel {
  level @0 :Float64;
  accounts @1 :List(AccountDemand);
  # No longer written. Older instances take 0 for no limit.
  cap @2 :Float64;
  number @3 :UInt64;
  leastAccount @4 :UInt64;
  leastCap @5 :Float64;
  estimates @6 :List(ServerState);
}

struct StoreEntry {
  key @0 :Text;
  deleted @1 :Bool;
  value @2 :Data;
  revision @3 :UInt64;
}

struct StoreChanges {
  after @0 :UInt64;
  revision @1 :UInt64;
  echo @2 :UInt64;
  entries @3 :List(StoreEntry);
  lapse @4 :UInt32;
}

struct StoreStamp {
  stamp @0 :UInt64;
  revision @1 :UInt64;
  missed @2 :Bool;
}

struct StoreUnreachable {
}

struct CrashReport {
  fingerprint @0 :Data;
  server @1 :Text;
  incarnation @2 :UInt64;
  lastEvent @3 :UInt32;
  ageMs @4 :UInt64;
}

struct CrashReports {
  reports @0 :List(CrashReport);
}

struct RequestCompleted {
  fingerprint @0 :Data;
}

struct SuspectReport {
  part @0 :Data;
  account @1 :Data;
  server @2 :Text;
  incarnation @3 :UInt64;
  ageMs @4 :UInt64;
  sentAgeMs @5 :UInt64;
}

struct SuspectReports {
  reports @0 :List(SuspectReport);
}

struct PartCompleted {
  part @0 :Data;
  ageMs @1 :UInt64;
  isReply @2 :Bool;
}

struct StreamBegun {
  attempt @0 :Text;
  service @1 :Text;
  softwareVersion @2 :Text;
}

struct StreamQuery {
  number @0 :UInt64;
  attempt @1 :Text;
  service @2 :Text;
}

struct RecentVersion {
  softwareVersion @0 :Text;
  ageMs @1 :UInt64;
}

struct StreamAnswer {
  number @0 :UInt64;
  attempt @1 :Text;
  known @2 :Bool;
  service @3 :Text;
  softwareVersion @4 :Text;
  versions @5 :List(RecentVersion);
  coveredMs @6 :UInt64;
}

struct SoftwareVersions {
  service @0 :Text;
  versions @1 :List(RecentVersion);
  coveredMs @2 :UInt64;
}

struct InstanceUsage {
  callers @0 :Text;
  usage @1 :Float64;
  needsPeers @2 :Bool;
}

struct PeerUsage {
  name @0 :Text;
  callers @1 :Text;
  usage @2 :Float64;
}

struct IdlePeers {
  peers @0 :List(PeerUsage);
}

struct TurnKept {
  fingerprint @0 :Data;
  account @1 :UInt64;
  dueMs @2 :UInt64;
  tokens @3 :UInt64;
}

struct TurnAsk {
  number @0 :UInt64;
  fingerprint @1 :Data;
  account @2 :UInt64;
}

struct TurnAnswer {
  number @0 :UInt64;
  due @1 :Bool;
  kept @2 :Bool;
  dueMs @3 :UInt64;
  waitedMs @4 :UInt64;
}
