@0xd5f3a1c29b7e4802;

# Frames between entry hosts. messages.py defines the typed form of each struct.

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

struct Resources {
  cores @0 :Float64;
  memoryMb @1 :UInt32;
  accelerators @2 :UInt32;
}

struct StepSpec {
  count @0 :UInt16;
  needs @1 :Resources;
  runTimeS @2 :Float64;
  after @3 :List(UInt16);
  label @4 :Text;
  maxPerWorker @5 :UInt16;
  dataRack @6 :Text;
}

struct JobOffer {
  jobId @0 :Text;
  route @1 :Text;
  service @2 :Text;
  body @3 :Text;
  steps @4 :List(StepSpec);
  priority @5 :Int32;
  maxAttempts @6 :UInt16;
  stretch @7 :Float64;
  allowanceS @8 :Float64;
  elapsedS @9 :Float64;
  leftS @10 :Float64;
  handovers @11 :UInt16;
  done @12 :List(UInt16);
  formerWorkers @13 :List(UInt64);
}

struct OfferedJob {
  number @0 :UInt64;
  offer @1 :JobOffer;
  tenure @2 :UInt64;
  repeated @3 :Bool;
  sentAtS @4 :Float64;
  workersDigests @5 :List(UInt64);
  leaderClockS @6 :Float64;
}

struct JobWithdrawn {
  jobId @0 :Text;
  cancelled @1 :Bool;
}

struct LostWorker {
  worker @0 :Text;
  incarnation @1 :UInt64;
}

struct TaskLosses {
  task @0 :Text;
  lost @1 :List(LostWorker);
}

struct JobProgress {
  jobId @0 :Text;
  done @1 :List(UInt16);
  losses @2 :List(TaskLosses);
  doneTasks @3 :List(Text);
}

struct JobEnded {
  jobId @0 :Text;
  error @1 :Text;
  detail @2 :Text;
  retryAfterS @3 :Float64;
  notRun @4 :Bool;
  elsewhere @5 :Bool;
  done @6 :List(UInt16);
  waitS @7 :Float64;
  runS @8 :Float64;
  number @9 :UInt64;
}

struct Claim {
  shard @0 :Text;
  epoch @1 :UInt64;
  workers @2 :UInt16;
}

struct Load {
  cores @0 :Float32;
  freeCores @1 :Float32;
  queuedCoreS @2 :Float32;
  busy @3 :Float32;
  late @4 :Bool;
  racks @5 :List(RackLoad);
}

struct RackLoad {
  rack @0 :Text;
  waitS @1 :Float64;
}

struct Beat {
  host @0 :Text;
  port @1 :UInt16;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  weight @4 :Float64;
  able @5 :Bool;
  leaving @6 :Bool;
  heard @7 :List(Text);
  claims @8 :List(Claim);
  known @9 :List(Text);
  version @10 :UInt64;
  tenure @11 :UInt64;
  load @12 :Load;
  leaders @13 :List(LeaderDigest);
  nearby @14 :Bool;
  outdated @15 :Bool;
  evacuations @16 :List(Evacuation);
  evacuationsEnd @17 :UInt64;
  workersDigests @18 :List(UInt64);
  sentAtS @19 :Float64;
  oldestOfferAtS @20 :Float64;
}

struct Evacuation {
  dataCentre @0 :Text;
  version @1 :UInt64;
}

struct ReducedWorker {
  worker @0 :Text;
  draining @1 :Bool;
  room @2 :Resources;
}

struct WorkersReport {
  reduced @0 :List(ReducedWorker);
}

struct LeaderDigest {
  name @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  dataCentre @3 :Text;
  ledDataCentres @4 :List(Text);
  tenure @5 :UInt64;
  load @6 :Load;
  ledShards @7 :List(Text);
  workersDigests @8 :List(UInt64);
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
    beat @12 :Beat;
    offeredJob @13 :OfferedJob;
    jobWithdrawn @14 :JobWithdrawn;
    jobProgress @15 :JobProgress;
    jobEnded @16 :JobEnded;
    workersReport @17 :WorkersReport;
  }
}
