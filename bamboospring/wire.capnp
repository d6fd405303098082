@0xb3c1f0a7d5e94826;
# Messages between the system's processes. A frame on the TCP stream is a
# four-byte little-endian length followed by one Envelope. New messages get a
# new union member; numbers are never reused.

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
    heldTxAsk @28 :HeldTxAsk;
    heldTxAnswer @29 :HeldTxAnswer;
    heldTxEnd @30 :HeldTxEnd;
    catalogAsk @31 :CatalogAsk;
    catalogPart @32 :CatalogPart;
  }
}

struct FactsAsk {             # request of a VM that serves sessions to the
                              # leader or to the relay of its zone
  vm @0 :Text;
  records @1 :UInt64;         # digests of the facts that the sender has
  targets @2 :UInt64;
  address @3 :Text;           # where the sender listens for peers
  availabilityZone @4 :Text;
  zoneVms @5 :UInt64;         # digest, as above
  unusedWantsCatalog @6 :Bool;  # replaced by CatalogAsk
  weight @7 :UInt8;           # 1 to 16; 0: none stated, the sender is of an
                              # older release or without load control
}

struct Facts {
  informed @0 :Bool;          # false: the sender neither leads nor has facts
                              # to relay; all other fields are empty
  proofAgeUs @1 :UInt64;      # time since the request to the store was sent
  records @2 :Data;           # JSON; empty if the asker has the same
  leaseVersion @3 :UInt64;    # version in the store; changes with each renewal
  targets @4 :Data;           # JSON; empty if the asker has the same
  targetsAgeMs @5 :UInt32;
  catalog @6 :UInt64;         # version of the configuration
  catalogAgeMs @7 :UInt32;
  leaseMs @8 :UInt32;         # duration of the lease
  samples @9 :Data;           # JSON: ages and positions of each group
  vms @10 :UInt32;            # number of VMs
  relay @11 :Text;            # VM to ask in future; empty: the leader
  servesZone @12 :Bool;       # the asker is the relay of its zone
  leader @13 :Text;           # the leader, if it is not the sender
  leaderAddress @14 :Text;
  zoneVms @15 :Data;          # JSON: VMs of the zone; empty if the asker has the same.
                              # Rows of name and address; for a VM whose weight
                              # is not 1, of name, address and weight, if the
                              # asker has stated its own
  zoneVmsKnown @16 :Bool;     # the sender knows the VMs of the zone
  catalogConfirmedMs @17 :UInt32;  # age of the instant at which the store
                              # certainly had no newer configuration
  unusedCatalogData @18 :Data;  # replaced by CatalogPart
  targetsVersion @19 :UInt64; # version of the store that `targets` shows; 0:
                              # unknown, the sender is of an older release
  targetProofs @20 :Data;     # JSON: group, version of its record and age in
                              # microseconds of each proof that the sender has
                              # from targets; also if it is not informed
}

struct CatalogAsk {           # asks the leader or relay for a part of a
  version @0 :UInt64;         # configuration
  offset @1 :UInt32;
  address @2 :Text;           # where the sender listens for peers
  servesZone @3 :Bool;        # the sender is the relay of its zone
  direct @4 :Bool;            # the sender is not to be referred to another VM
}

struct CatalogPart {
  version @0 :UInt64;         # what the sender has or is receiving
  total @1 :UInt32;           # bytes; 0: not received, or not this version
  offset @2 :UInt32;
  data @3 :Data;              # empty: not available yet
  digest @4 :UInt64;          # of all bytes
  available @5 :UInt32;       # bytes that the sender has
  receiving @6 :Bool;         # the sender has the version or will have it
  source @7 :Text;            # address of another VM that has the version
}

struct QuotaAsk {             # asks the VM that counts a team to admit operations
  team @0 :Text;
  wanted @1 :UInt32;
  urgencies @2 :List(UInt32);  # of the wanted operations, the number of each
                              # class, the most urgent first; empty if the
                              # sender is of an older release or without load
                              # control
}

struct QuotaAnswer {
  counts @0 :Bool;            # false: the sender does not count the team
  count @1 :UInt32;           # number of operations that may run
  retryMs @2 :UInt32;         # time until the others may run
  retriesMs @3 :List(UInt32);  # the same by class; empty unless urgencies were
                              # stated and used
}

struct QuotaReturn {          # admitted operations that have not run
  team @0 :Text;
  count @1 :UInt32;
}

struct HeldAsk {              # a read to be run by the holder of its target
  vm @0 :Text;
  number @1 :UInt64;          # assigned by the sender, to cancel the read
  head @2 :Data;              # JSON; for its members see held_messages.py
  objectiveUs @3 :Int64;      # time left to the objective; 0: none was given
}

struct HeldAnswer {
  head @0 :Data;              # JSON; for its members see held_messages.py
}

struct HeldCancel {           # the answer is no longer needed
  vm @0 :Text;
  number @1 :UInt64;
}

struct HeldTxAsk {            # one step of a transaction at the target's holder
  vm @0 :Text;
  number @1 :UInt64;          # assigned by the sender, identifies the transaction
  step @2 :UInt32;            # 0 opens the transaction
  head @3 :Data;              # JSON; for its members see forward_messages.py
}

struct HeldTxAnswer {
  head @0 :Data;              # JSON; for its members see forward_messages.py
}

struct HeldTxEnd {            # roll back and discard
  vm @0 :Text;
  number @1 :UInt64;
}

struct Leading {              # the sender has acquired the lease
  vm @0 :Text;
  address @1 :Text;
  version @2 :UInt64;         # version of the lease object in the store
}

struct RecordNews {
  record @0 :Data;            # JSON of a group's record and its version
}

struct RecordSeen {           # the sender no longer uses proofs of older versions
  vm @0 :Text;
  version @1 :UInt64;
}

struct Hello {
  vm @0 :Text;
  protocol @1 :UInt16;
}

struct Statement {
  head @0 :Data;              # JSON array; for its members see wire.py
  params @1 :Data;            # JSON array, forwarded without decoding
}

struct Answer {
  head @0 :Data;              # JSON array; for its members see wire.py
  columns @1 :Data;           # JSON array, forwarded without decoding
  rows @2 :Data;              # JSON array of arrays, forwarded without decoding
}

struct Heartbeat {
  vm @0 :Text;
  vmsRevision @1 :UInt64;
  shards @2 :List(UInt64);    # versions in force, by shard; empty if omitted
  draining @3 :Bool;
  digest @4 :UInt64;          # of all versions; 0 if omitted
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

struct Witness {              # a steward asks a VM of another zone to probe a
  group @0 :Text;             # suspected primary; answered by suspicion
  target @1 :Text;
  address @2 :Text;
  term @3 :UInt64;
}

struct GroupFact {
  record @0 :Data;            # JSON: request, answer or newer records; see group_sync.py
  version @1 :UInt64;         # unused
}

struct TableDelta {
  shard @0 :UInt16;
  version @1 :UInt64;
  rows @2 :Data;              # JSON of the platform's table object
}

struct TableWant {
  shard @0 :UInt16;
  version @1 :UInt64;         # version that the sender has
}

struct Share {
  group @0 :Text;
  vm @1 :Text;
  vmsRevision @2 :UInt64;
  targets @3 :List(TargetShare);
  holders @4 :UInt64;         # hash of the ordered names of the holders
  agrees @5 :Bool;            # in a release: a promise, see shares.py
  informed @6 :Bool;
  growing @7 :Bool;           # in a release: the sender waits for promises
}

struct TargetShare {
  target @0 :Text;
  slots @1 :UInt32;
  connections @2 :UInt32;
}

struct Status {
  body @0 :Data;              # JSON; empty in a request
}

struct VmList {
  revision @0 :UInt64;
  vms @1 :Data;               # JSON as from the platform
}

struct HandOver {
  group @0 :Text;
  target @1 :Text;            # empty: the steward chooses
  term @2 :UInt64;            # 0: an order; otherwise a holder's hint that
                              # the primary of this term reports leaving
}

struct Process {              # between an entry-only process and its main process
  vm @0 :Text;                # name of the sender
  address @1 :Text;           # for announcements to it; empty in an answer
  ready @2 :Bool;             # in an answer: the main process has all facts
  draining @3 :Bool;
}
