@0xd58e02c41b7f96a3;
# Messages about rate limits between entry hosts; see usagereports.py.

struct Ask {
  hosts @0 :UInt16;
  # The sender cedes one divided by this number of each limit; 0 cedes nothing.
  credit @1 :Bool;
  # The cession includes the credit of the share.
  release @2 :Bool;
  # The receiver is to give up the share and to return its tokens.
  stampRun @3 :UInt32;
  stampMs @4 :UInt64;
  # Process and clock reading of the receiver, as it last sent them.
  team @5 :UInt64;
  # Hash of the name of the team; 0 without a request.
  ratePerS @6 :Float64;
  burst @7 :Float64;
  configVersion @8 :Int64;
  returned @9 :Bool;
  # A token is returned instead of requested.
  carryAgeS @10 :UInt16;
  carryLevels @11 :Data;
  # Tokens of the share, by slots of teams; empty without any.
  issuedRun @12 :UInt32;
  issuedMs @13 :UInt64;
  # Clock reading of the answer that issued the returned token.
}

struct Reply {
  run @0 :UInt32;
  clockMs @1 :UInt64;
  # Process and clock reading of the sender.
  granted @2 :Bool;
  emptyMs @3 :UInt32;
  # Time for which no token becomes available.
  retryAfterMs @4 :UInt32;
  starting @5 :Bool;
  # The sender has no token because it obtained its shares only recently.
  carryAgeS @6 :UInt16;
  carryLevels @7 :Data;
  # Tokens of the share that the receiver gets back.
}

struct UsageReport {
  version @0 :UInt16;
  host @1 :Text;
  group @2 :UInt8;
  sequence @3 :UInt64;
  union {
    ask @4 :Ask;
    reply @5 :Reply;
  }
}
