@0xb3c1f0a7d5e94826;
# Messages between the system's own processes. Frames on the TCP stream are a
# four-byte little-endian length followed by one Envelope. New messages take a
# new union member; numbers are never used twice.

struct Envelope {
  id @0 :UInt64;              # correlation id; an answer repeats it
  union {
    hello @1 :Hello;
    statement @2 :Statement;
    answer @3 :Answer;
    heartbeat @4 :Heartbeat;
    heartbeatAck @5 :Heartbeat;
    suspicion @6 :Suspicion;
    groupFact @7 :GroupFact;
    tableDelta @8 :TableDelta;
    tableWant @9 :TableWant;
    shareRequest @10 :Share;
    shareRelease @11 :Share;
    status @12 :Status;
    vmList @13 :VmList;
    handOver @14 :HandOver;
    process @15 :Process;
  }
}

struct Hello {
  vm @0 :Text;
  protocol @1 :UInt16;
}

struct Statement {
  group @0 :Text;
  caller @1 :Text;
  write @2 :Bool;
  sql @3 :Text;
  params @4 :Data;            # JSON array
  step @5 :UInt8;             # 0 autocommit, 1 begin, 2 statement, 3 commit, 4 rollback
  transaction @6 :Text;
  key @7 :Text;
  tokenTerm @8 :UInt64;       # the session's position in this group
  tokenIndex @9 :UInt64;
  stalenessMs @10 :UInt32;    # 0: only the token binds; see flag
  stalenessStated @11 :Bool;
  deadlineMs @12 :UInt32;     # time left when sent
  trace @13 :Text;            # correlation id of the logs
  settle @14 :Bool;           # read: take the primary though replicas would do
}

struct Answer {
  outcome @0 :UInt8;          # 0 done, 1 failed, 2 not run, 3 overloaded, 4 unknown
  reason @1 :Text;
  message @2 :Text;
  retryAfterMs @3 :UInt32;
  term @4 :UInt64;
  index @5 :UInt64;
  target @6 :Text;
  columns @7 :Data;           # JSON array
  rows @8 :Data;              # JSON array of arrays
  rowcount @9 :Int64;
  replayed @10 :Bool;
  atReplica @11 :Bool;
  transaction @12 :Text;
}

struct Heartbeat {
  vm @0 :Text;
  vmsRevision @1 :UInt64;
  shards @2 :List(UInt64);    # version in force, by shard
  draining @3 :Bool;
}

struct Suspicion {
  group @0 :Text;
  target @1 :Text;
  term @2 :UInt64;
  vm @3 :Text;
  availabilityZone @4 :Text;
  suspected @5 :Bool;
  silentMs @6 :UInt32;
}

struct GroupFact {
  record @0 :Data;            # JSON: a question, its answer, or news; group_sync
  version @1 :UInt64;         # unused
}

struct TableDelta {
  shard @0 :UInt16;
  version @1 :UInt64;
  rows @2 :Data;              # JSON of the platform's table object
}

struct TableWant {
  shard @0 :UInt16;
  version @1 :UInt64;         # the version that the asker has
}

struct Share {
  group @0 :Text;
  vm @1 :Text;
  vmsRevision @2 :UInt64;
  targets @3 :List(TargetShare);
  holders @4 :UInt64;         # hash of the ordered names of the holders
  agrees @5 :Bool;            # in a release: the promise, see shares.py
  informed @6 :Bool;
}

struct TargetShare {
  target @0 :Text;
  slots @1 :UInt32;
  connections @2 :UInt32;
}

struct Status {
  body @0 :Data;              # JSON; empty in a question
}

struct VmList {
  revision @0 :UInt64;
  vms @1 :Data;               # JSON as from the platform
}

struct HandOver {
  group @0 :Text;
  target @1 :Text;            # empty: the steward chooses
  term @2 :UInt64;            # 0: an order; else only a holder's hint that
                              # the primary of this term says it leaves
}

struct Process {              # an entry-only process and its VM's main process
  vm @0 :Text;                # name of the sender
  address @1 :Text;           # where to tell it of news; empty in an answer
  ready @2 :Bool;             # in an answer: the main process has its facts
  draining @3 :Bool;
}
