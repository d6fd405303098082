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
    factsAsk @16 :FactsAsk;
    facts @17 :Facts;
    recordNews @18 :RecordNews;
    recordSeen @19 :RecordSeen;
    leading @20 :Leading;
    witness @21 :Witness;
    heldAsk @22 :HeldAsk;
    heldAnswer @23 :HeldAnswer;
    heldCancel @24 :HeldCancel;
    quotaAsk @25 :QuotaAsk;
    quotaAnswer @26 :QuotaAnswer;
    quotaReturn @27 :QuotaReturn;
  }
}

struct FactsAsk {             # a VM that serves sessions asks the leader, or
                              # the relay of its zone
  vm @0 :Text;
  records @1 :UInt64;         # digests of what the asker has
  targets @2 :UInt64;
  address @3 :Text;           # where the asker listens for peers
  availabilityZone @4 :Text;
  zoneVms @5 :UInt64;         # digest, as above
  wantsCatalog @6 :Bool;      # the asker can't read the newest one
}

struct Facts {
  informed @0 :Bool;          # false: the sender neither leads nor has facts
                              # to pass on; the rest is empty
  proofAgeUs @1 :UInt64;      # since the question to the store was sent
  records @2 :Data;           # JSON; empty: as the asker has them
  leaseVersion @3 :UInt64;    # the store's, moves with each renewal
  targets @4 :Data;           # JSON; empty: as the asker has them
  targetsAgeMs @5 :UInt32;
  catalog @6 :UInt64;         # the configuration's own version
  catalogAgeMs @7 :UInt32;
  leaseMs @8 :UInt32;         # its duration
  samples @9 :Data;           # JSON: for each group ages and positions
  vms @10 :UInt32;            # how many VMs there are
  relay @11 :Text;            # whom to ask from now on; empty: the leader
  servesZone @12 :Bool;       # the asker is the relay of its zone
  leader @13 :Text;           # who leads, if it is not the sender
  leaderAddress @14 :Text;
  zoneVms @15 :Data;          # JSON: the zone's VMs; empty: as the asker has it
  zoneVmsKnown @16 :Bool;     # the sender knows the zone's VMs
  catalogConfirmedMs @17 :UInt32;  # age of the instant at which the store
                              # surely had no newer configuration
  catalogData @18 :Data;      # JSON; empty unless the asker wants it
}

struct QuotaAsk {             # may operations of a team run? to who counts them
  team @0 :Text;
  wanted @1 :UInt32;
}

struct QuotaAnswer {
  counts @0 :Bool;            # false: the sender does not count for the team
  count @1 :UInt32;           # so many may run
  retryMs @2 :UInt32;         # when there is room for the others
}

struct QuotaReturn {          # so many that were let in have not run
  team @0 :Text;
  count @1 :UInt32;
}

struct HeldAsk {              # a read for the holder of its target to run
  vm @0 :Text;
  number @1 :UInt64;          # the asker's own, to cancel it by
  head @2 :Data;              # JSON; its members: see held_messages.py
}

struct HeldAnswer {
  head @0 :Data;              # JSON; its members: see held_messages.py
}

struct HeldCancel {           # nobody waits for the answer any more
  vm @0 :Text;
  number @1 :UInt64;
}

struct Leading {              # the sender has taken the lease
  vm @0 :Text;
  address @1 :Text;
  version @2 :UInt64;         # the store's, of the lease's object
}

struct RecordNews {
  record @0 :Data;            # JSON of a group's record with its version
}

struct RecordSeen {           # the sender uses no proof of an older version
  vm @0 :Text;
  version @1 :UInt64;
}

struct Hello {
  vm @0 :Text;
  protocol @1 :UInt16;
}

struct Statement {
  head @0 :Data;              # JSON array; its members: see wire.py
  params @1 :Data;            # JSON array, passed on unread
}

struct Answer {
  head @0 :Data;              # JSON array; its members: see wire.py
  columns @1 :Data;           # JSON array, passed on unread
  rows @2 :Data;              # JSON array of arrays, passed on unread
}

struct Heartbeat {
  vm @0 :Text;
  vmsRevision @1 :UInt64;
  shards @2 :List(UInt64);    # version in force, by shard; empty: not told
  draining @3 :Bool;
  digest @4 :UInt64;          # of all versions; 0: not told
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

struct Witness {              # a steward asks for another place's judgement
  group @0 :Text;             # of a suspected primary; answered by suspicion
  target @1 :Text;
  address @2 :Text;
  term @3 :UInt64;
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
  growing @7 :Bool;           # in a release: its sender waits for promises
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
