@0xb9f0a7c3d1e25846;
# Messages between the VMs of one mangohook system.

struct Hello {
  # The sender of a message.
  protocol @0 :UInt16;
  vm @1 :Text;
  incarnation @2 :UInt64;
  # Start of the process, in microseconds since 1970-01-01 UTC.
  domain @3 :Text;
}

struct Part {
  # A message of one subsystem; a part of an unknown kind is skipped.
  kind @0 :UInt16;
  body @1 :Data;
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct Operation {
  # A non-idempotent request that is forwarded to the VM that owns its operation id.
  route @0 :Text;
  organisation @1 :Text;
  operationId @2 :Text;
  requestId @3 :Text;
  method @4 :Text;
  target @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  deadlineMs @8 :UInt64;
  claimVm @9 :Text;
  # Claim row of an id that the caller chose; empty for an id that names its owner.
  claimIncarnation @10 :UInt64;
  claimedMs @11 :UInt64;
}

struct Answer {
  # An answer of a backend server, or a refusal when code is not 0.
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  code @3 :UInt16;
  notRun @4 :Bool;
}

interface Peer {
  exchange @0 (from :Hello, parts :List(Part)) -> (from :Hello, parts :List(Part));
  # Heartbeat, with the messages that either side has for the other.

  changes @1 (since :UInt64) -> (revision :UInt64, whole :Bool, rows :List(Text));
  # Settings after a revision: each change in order, or every document when `whole`.

  operate @2 (operation :Operation) -> (answer :Answer);
}
