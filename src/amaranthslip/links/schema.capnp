@0xb7d3a1c04e5f9821;

# Messages between amaranthslip instances. Struct and field names follow the
# message classes: the codec copies slots to fields of the same name.
# New messages and fields are only ever appended, so that two releases can
# talk during a rolling replacement.

struct Batch {
  messages @0 :List(Message);
}

struct Message {
  union {
    hello @0 :Hello;
    probe @1 :Probe;
    probeAnswer @2 :ProbeAnswer;
    probeRequest @3 :ProbeRequest;
    claimRequest @4 :ClaimRequest;
    claimAnswer @5 :ClaimAnswer;
    claimSettlement @6 :ClaimSettlement;
    claimSettled @7 :ClaimSettled;
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
}

struct ClaimSettled {
  claimId @0 :UInt64;
}
