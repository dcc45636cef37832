@0xd5f3a1c29b7e4802;

# Frames between entry hosts. The typed forms are in messages.py.

struct MemberState {
  name @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  dataCentre @3 :Text;
  incarnation @4 :UInt64;
  heartbeat @5 :UInt64;
  leaving @6 :Bool;
}

struct Suspicion {
  worker @0 :Text;
  level @1 :Float32;
}

struct Heartbeat {
  members @0 :List(MemberState);
  configurationVersion @1 :UInt64;
  idleSlots @2 :UInt32;
  queuedTasks @3 :UInt32;
  hostsVersion @4 :UInt64;
  leavingWorkers @5 :List(Text);
  suspicions @6 :List(Suspicion);
}

struct WorkerSlots {
  worker @0 :Text;
  count @1 :UInt16;
}

struct SlotRequest {
  requestId @0 :UInt64;
  service @1 :Text;
  wanted @2 :UInt32;
}

struct SlotGrant {
  requestId @0 :UInt64;
  leaseS @1 :Float32;
  slots @2 :List(WorkerSlots);
  idleSlots @3 :UInt32;
}

struct SlotReturn {
  requestId @0 :UInt64;
  slots @1 :List(WorkerSlots);
}

struct ConfigurationRequest {
  newerThan @0 :UInt64;
}

struct ConfigurationOffer {
  version @0 :UInt64;
  ageS @1 :Float64;
  snapshot @2 :Text;
  snapshotTime @3 :Float64;
}

struct ConfigurationNews {
  version @0 :UInt64;
  firstOffset @1 :UInt64;
  records @2 :List(Text);
}

struct Goodbye {
  incarnation @0 :UInt64;
}

struct HostsNews {
  hostsVersion @0 :UInt64;
  leavingWorkers @1 :List(Text);
}

struct RefreshRequest {
  requestId @0 :UInt64;
}

struct RefreshReply {
  requestId @0 :UInt64;
  configurationVersion @1 :UInt64;
  hostsVersion @2 :UInt64;
  leavingWorkers @3 :List(Text);
  informed @4 :Bool;
}

struct Frame {
  sender @0 :Text;
  union {
    heartbeat @1 :Heartbeat;
    slotRequest @2 :SlotRequest;
    slotGrant @3 :SlotGrant;
    slotReturn @4 :SlotReturn;
    configurationRequest @5 :ConfigurationRequest;
    configurationOffer @6 :ConfigurationOffer;
    goodbye @7 :Goodbye;
    configurationNews @8 :ConfigurationNews;
    hostsNews @9 :HostsNews;
    refreshRequest @10 :RefreshRequest;
    refreshReply @11 :RefreshReply;
  }
}
