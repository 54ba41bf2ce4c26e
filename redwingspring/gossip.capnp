@0xb3c1d5a7e94f2608;
# Gossip datagrams between entry hosts; see gossip.py.

enum State {
  starting @0;
  serving @1;
  leaving @2;
}

struct MemberEntry {
  name @0 :Text;
  ip @1 :UInt32;
  port @2 :UInt16;
  # Port for callers.
  peerPort @3 :UInt16;
  dataCentre @4 :Text;
  startedAt @5 :UInt64;
  # Unix time in milliseconds; a report of a later start replaces one of an earlier.
  beat @6 :UInt32;
  state @7 :State;
  ageMs @8 :UInt16;
  # Time since the sender last saw the heartbeat counter increase.
  capacity @9 :UInt16 = 100;
  # Load that the host can carry, in hundredths of a core.
}

struct DrainEntry {
  instance @0 :Text;
  startedAt @1 :UInt64;
  # Unix time in milliseconds of the start of the target.
  ip @2 :UInt32;
  port @3 :UInt16;
  ageMs @4 :UInt16;
  # Time since a response of the target announced that it drains.
}

struct Gossip {
  # The first member is the sender.
  version @0 :UInt16;
  members @1 :List(MemberEntry);
  asksAnswer @2 :Bool;
  draining @3 :List(DrainEntry);
  # Targets that announced in their responses that they take no new requests.
}
