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
