@0xd6a1f0c37be25a94;
# Messages between entry hosts. frames.py describes the frame that carries an
# Envelope.

struct Envelope {
  version @0 :UInt16;
  sender @1 :Text;
  sequence @2 :UInt64;
  sentAt @3 :Float64;
  # Unix time in seconds; used for diagnosis only.

  body :union {
    hello @4 :Hello;
    heartbeat @5 :Heartbeat;
    pull @6 :Pull;
    value @7 :Value;
    targetStates @8 :TargetStates;
    leaseRequest @9 :LeaseRequest;
    leaseReply @10 :LeaseReply;
    leaseRelease @11 :LeaseRelease;
    seenTargets @12 :SeenTargets;
  }
}

struct Stamp {
  revision @0 :UInt64;
  digest @1 :Data;
}

struct Hello {
  address @0 :Text;
  peerAddress @1 :Text;
  dataCentre @2 :Text;
}

struct Heartbeat {
  configurationStamp @0 :Stamp;
  hostsStamp @1 :Stamp;
  state @2 :Text;
  startId @3 :Text;
  sentTick @4 :UInt64;
  echoTick @5 :UInt64;
}

struct Pull {
  key @0 :Text;
  revision @1 :UInt64;
  digest @2 :Text;
}

struct Value {
  key @0 :Text;
  revision @1 :UInt64;
  digest @2 :Text;
  text @3 :Text;
}

struct TargetStateEntry {
  target @0 :Text;
  startId @1 :Text;
  temperature @2 :Text;
  decidedMs @3 :UInt64;
}

struct TargetStates {
  entries @0 :List(TargetStateEntry);
}

struct LeaseRequest {
  number @0 :UInt64;
  kind @1 :Text;
  target @2 :Text;
  slot @3 :UInt32;
  termMs @4 :UInt32;
}

struct LeaseReply {
  number @0 :UInt64;
  granted @1 :Bool;
  slotsAllowed @2 :UInt32;
}

struct LeaseRelease {
  number @0 :UInt64;
  kind @1 :Text;
  target @2 :Text;
  slot @3 :UInt32;
  whole @4 :Bool;
}

struct SeenTarget {
  target @0 :Text;
  ageMs @1 :UInt32;
  reported @2 :Bool;
  probed @3 :Bool;
}

struct SeenTargets {
  entries @0 :List(SeenTarget);
}
