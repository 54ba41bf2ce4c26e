@0xc7e2f1904b8d3a65;
# Response of the feed of store changes between entry hosts; see feed.py.

struct Change {
  key @0 :Text;
  value @1 :Data;
  deleted @2 :Bool;
  revision @3 :UInt64;
}

struct Feed {
  version @0 :UInt16;
  revision @1 :UInt64;
  whole @2 :Bool;
  # Whether the changes are a full snapshot of the store.
  confirmedAgeMs @3 :UInt32;
  # Time since the store last confirmed the data of the sender.
  changes @4 :List(Change);
  hops @5 :UInt8;
  # Hosts between the sender and the store; 0 when the sender reads the store itself.
  epoch @6 :UInt64;
  # Epoch of the store to which the revisions belong; 0 from hosts that know no epochs.
  confirmedOffsetMs @7 :Int32 = -2147483648;
  # Earliest time at which the store may have confirmed the data, relative to the arrival
  # of the request at the sender; the default value means that it is unknown.
}
