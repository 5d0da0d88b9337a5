@0xd1f0a6b58c3e9b27;
# Messages between the nodes of a fleet. New fields may only be added at the end.

struct Frame {
  requestId @0 :UInt64;     # chosen by the side that opened the request
  epoch @1 :UInt64;         # the sender's epoch, used as its fencing number
  deadlineMs @2 :UInt32;    # time left for the request, 0 for no deadline

  union {
    hello @3 :Hello;
    ok @4 :Ok;
    failure @5 :Failure;
    cancel @6 :Cancel;
    callRequest @7 :CallRequest;
    callChunk @8 :CallChunk;
    callEnd @9 :CallEnd;
    acquire @10 :Acquire;
    acquired @11 :Acquired;
    append @12 :Append;
    appended @13 :Appended;
    place @14 :Place;
    placed @15 :Placed;
    finish @16 :Finish;
    vouch @17 :Vouch;
    vouched @18 :Vouched;
    release @19 :Release;
    released @20 :Released;
    changeHint @21 :ChangeHint;
    changeApplied @22 :ChangeApplied;
    programQuery @23 :ProgramQuery;
    programAnswer @24 :ProgramAnswer;
    bucketHandover @25 :BucketHandover;
    bucketLevel @26 :BucketLevel;
    handover @27 :Handover;
    register @28 :Register;
    takeTokens @29 :TakeTokens;
    tokensTaken @30 :TokensTaken;
    reserveTokens @31 :ReserveTokens;
    tokensReserved @32 :TokensReserved;
    settleTokens @33 :SettleTokens;
    storeReach @34 :StoreReach;
    storeReached @35 :StoreReached;
    announceLimit @36 :AnnounceLimit;
    takePermit @37 :TakePermit;
    permitTaken @38 :PermitTaken;
    reportCrash @39 :ReportCrash;
    announceQuarantine @40 :AnnounceQuarantine;
    requestAnnouncements @41 :RequestAnnouncements;
    recordStream @42 :RecordStream;
    findStream @43 :FindStream;
    streamFound @44 :StreamFound;
    findTurns @45 :FindTurns;
    turnsFound @46 :TurnsFound;
    keepTurn @47 :KeepTurn;
    # Of earlier versions.
    keepPartialTurn @48 :KeepPartialTurn;
    findPartialTurn @49 :FindPartialTurn;
    partialTurnFound @50 :PartialTurnFound;
    requestPlace @51 :RequestPlace;
    placeGranted @52 :PlaceGranted;
    releasePlace @53 :ReleasePlace;
    registerPlaces @54 :RegisterPlaces;
    placesRegistered @55 :PlacesRegistered;
    turnPending @56 :TurnPending;
    explainPlace @57 :RequestPlace;
    placeExplained @58 :PlaceExplained;
    copyEvents @59 :CopyEvents;
    findEvents @60 :FindEvents;
    eventsFound @61 :EventsFound;
    findCompletion @62 :FindCompletion;
    completionFound @63 :CompletionFound;
  }
}

struct Hello {
  vmId @0 :Text;
  nonce @1 :Data;
  mac @2 :Data;
}

struct Ok {}

struct Failure {
  code @0 :Text;
  detail @1 :Text;
  notRun @2 :Text;
  retryAfterMs @3 :Int64;   # -1 if no retry is suggested
}

struct Cancel {}

struct CallRequest {
  callId @0 :Text;
  workspace @1 :Text;
  keyId @2 :Text;
  service @3 :Text;
  route @4 :Text;
  programId @5 :Text;
  idempotencyKey @6 :Text;
  budgetMicros @7 :Int64;   # -1 if the caller set none
  stream @8 :Bool;
  endProgram @9 :Bool;      # the call is a complete program by itself
  sealed @10 :Text;
  body @11 :Data;
  contentType @12 :Text;
  entryVm @13 :Text;
  historyMode @14 :Text;    # append or full
  timeoutMs @15 :UInt32;    # the caller's deadline, 0 if it set none
}

struct CallChunk {
  text @0 :Text;
}

struct CallEnd {
  outcome @0 :Data;         # the owner's CallOutcome, as JSON
}

struct Acquire {
  workspace @0 :Text;
  maxWaitMs @1 :UInt32;
}

struct Acquired {
  waitedMs @0 :UInt32;
}

struct Append {
  partition @0 :UInt32;
  vmId @1 :Text;
  records @2 :List(Text);
  openedAt @3 :UInt64;      # position of the holder's PartitionOpened record, 0 to open
}

struct Appended {
  stream @0 :UInt32;
  position @1 :UInt64;
}

struct Place {
  callId @0 :Text;
  pool @1 :Text;
  workspace @2 :Text;
  programId @3 :Text;
  promptTokens @4 :UInt32;
  maxTokens @5 :UInt32;
  attainedTokens @6 :UInt64; # tokens served to the program so far
  lastUpstream @7 :Text;
  excluded @8 :List(Text);   # upstreams on which this call already failed
  vmId @9 :Text;
  route @10 :Text;
  deadlineMs @11 :UInt32;    # time left for the call, 0 if its caller set none
}

struct Register {
  pool @0 :Text;
  calls @1 :List(Text);      # each call that the sender has placed, as JSON
}

struct Placed {
  upstream @0 :Text;
  url @1 :Text;
  waitedMs @2 :UInt32;
  reason @3 :Text;
}

struct Finish {
  callId @0 :Text;
  pool @1 :Text;
  upstream @2 :Text;
  servedTokens @3 :UInt32;
  cachedTokens @4 :UInt32;
  firstTokenMs @5 :UInt32;
  totalMs @6 :UInt32;
  failed @7 :Bool;
  programEnded @8 :Bool;
  promptTokens @9 :UInt32;   # as counted by the engine
}

struct Vouch {
  vmId @0 :Text;
  cursor @1 :UInt64;
}

struct Vouched {
  cursor @0 :UInt64;
  granted @1 :Bool;
}

struct Release {
  vmId @0 :Text;
}

struct Released {
  granted @0 :Bool;
}

struct ChangeHint {
  cursor @0 :UInt64;
}

struct ChangeApplied {
  cursor @0 :UInt64;
}

struct ProgramQuery {
  workspace @0 :Text;
  programId @1 :Text;
  action @2 :Text;          # start, read, list, end or explain
  service @3 :Text;         # for a start
  budgetMicros @4 :Int64;   # for a start, -1 for the limit in the service document
}

struct ProgramAnswer {
  body @0 :Data;            # JSON
}

struct BucketHandover {
  workspace @0 :Text;
}

struct BucketLevel {
  level @0 :Float64;        # tokens left, -1 if the sender has no bucket
}

struct Handover {
  partition @0 :UInt32;
}

struct TakeTokens {
  workspace @0 :Text;
  tokens @1 :UInt32;        # number that the sender expects to need soon, at least 1
  maxWaitMs @2 :UInt32;
  reserve @3 :UInt32;       # tokens to leave for running programs if this starts a new one
  program @4 :Text;         # program of this request, or empty
  programTimeLeftMs @5 :UInt32;  # until the program should end; 0 if it is not known
}

struct TokensTaken {
  tokens @0 :UInt32;
}

struct ReserveTokens {
  workspace @0 :Text;
  programId @1 :Text;
  budgetTokens @2 :UInt32;   # budget of the whole program
  mostTokens @3 :UInt32;     # maximum that this turn may generate
  patienceMs @4 :UInt32;     # how long to wait for other turns to settle
  lapseMs @5 :UInt32;        # time after which an unsettled reservation counts as used in full
  mayBegin @6 :Bool;         # whether this can be the program's first turn
}

struct TokensReserved {
  reservation @0 :UInt64;
  tokens @1 :UInt32;
}

struct SettleTokens {
  reservation @0 :UInt64;
  usedTokens @1 :UInt32;
}

struct StoreReach {}

struct StoreReached {
  answers @0 :Bool;          # whether the sender can reach the store
  silentMs @1 :UInt32;       # time since the store last responded to the sender
}

struct AnnounceLimit {
  upstream @0 :Text;         # identifies one process of the upstream
  limitPerS @1 :Float64;     # requests per second from all VMs, -1 for no limit
  ageMs @2 :UInt32;          # time since the upstream said so
}

struct TakePermit {
  upstream @0 :Text;
  limitPerS @1 :Float64;     # as the sender knows it
  ageMs @2 :UInt32;
  maxWaitMs @3 :UInt32;      # longest time until the permit is valid
}

struct PermitTaken {
  granted @0 :Bool;
  waitMs @1 :UInt32;         # until the permit is valid, or until one may be granted
  limitPerS @2 :Float64;     # as the coordinator knows it
  ageMs @3 :UInt32;
}

struct ReportCrash {
  fingerprint @0 :Text;      # of the request under which the upstream crashed
  upstream @1 :Text;
  startedAtMs @2 :UInt64;    # of the upstream's process, 0 if unknown
}

struct FindCompletion {
  fingerprint @0 :Text;
}

struct CompletionFound {
  found @0 :Bool;
}

struct AnnounceQuarantine {
  fingerprint @0 :Text;
  leftMs @1 :UInt32;         # time until the quarantine ends
  crashes @2 :UInt32;
}

struct RequestAnnouncements {}

struct RecordStream {
  service @0 :Text;
  stream @1 :Text;           # id of the request that began the stream
  version @2 :Text;          # software version of its upstream
}

struct FindStream {
  service @0 :Text;
  stream @1 :Text;
}

struct StreamFound {
  version @0 :Text;          # empty if the VM does not know it
}

struct FindTurns {
  workspace @0 :Text;
  turnId @1 :Text;           # empty to ask only whether the receiver can keep turns
  acceptsNames @2 :Bool;
}

struct TurnsFound {
  found @0 :Bool;
  body @1 :Data;             # inputs and outputs of the whole chain, oldest first
  names @2 :List(Text);      # in place of the body of a long chain
  sizesBytes @3 :List(UInt64);
}

struct KeepTurn {
  workspace @0 :Text;
  turnId @1 :Text;
  previousTurnId @2 :Text;   # empty for the first turn of a chain
  programId @3 :Text;
  input @4 :Data;
  output @5 :Data;
  retentionMs @6 :UInt64;    # how long the turn is retained after its end
  endedMs @7 :UInt64;        # on the store's clock, 0 if the sender does not know it
}

struct TurnPending {}        # the turn waits for the store

struct KeepPartialTurn {
  workspace @0 :Text;
  streamId @1 :Text;         # id of the request that began the stream
  events @2 :Data;           # as passed on to the caller
  lifetimeMs @3 :UInt32;
}

struct FindPartialTurn {
  workspace @0 :Text;
  streamId @1 :Text;
}

struct PartialTurnFound {
  found @0 :Bool;
  events @1 :Data;
}

struct CopyEvents {          # without a response
  workspace @0 :Text;
  streamId @1 :Text;         # id of the request that began the stream
  attempt @2 :UInt32;        # higher for each request that goes on with the stream
  version @3 :Text;          # software version of the stream's upstreams
  offsetBytes @4 :UInt64;    # bytes of the stream's events before these
  events @5 :Data;           # as passed on to the caller
  lifetimeMs @6 :UInt32;
}

struct FindEvents {
  workspace @0 :Text;
  streamId @1 :Text;
}

struct EventsFound {
  found @0 :Bool;
  attempt @1 :UInt32;
  version @2 :Text;
  events @3 :Data;
}

struct RequestPlace {
  service @0 :Text;
  id @1 :Text;               # unique among the requests of the sender
  workspace @2 :Text;
  program @3 :Text;
  route @4 :Text;
  affinity @5 :Text;
  sticksToProgram @6 :Bool;  # whether the program's id is the affinity
  inProgress @7 :Bool;       # whether a turn of the program has completed
  retryable @8 :Bool;
  priority @9 :UInt32;       # 0 is the most urgent
  timeLeftMs @10 :UInt32;
  programTimeLeftMs @11 :Int64;  # -1 if the program has no deadline
  promptTokens @12 :UInt32;
  maxOutputTokens @13 :UInt32;
  bodyBytes @14 :UInt32;
  holdMs @15 :UInt32;        # how long to hold the request before it is told to wait
  connected @16 :Data;       # digest of the list of upstreams, and a bit for each
  excluded @17 :List(Text);
  needsVersion @18 :Bool;
  softwareVersion @19 :Text;
}

struct PlaceGranted {
  generation @0 :UInt32;     # identifies the process of the scheduler
  upstream @1 :Text;         # empty if none was granted
  startedAtMs @2 :UInt64;
  reason @3 :Text;           # why the request was rejected; empty if it was not
  retryAfterMs @4 :UInt32;
}

struct ReleasePlace {
  service @0 :Text;
  ids @1 :List(Text);
  kinds @2 :List(UInt8);     # codes of outcomes
  firstEventUs @3 :List(UInt32);  # 0 is unknown, as for the other times
  eventGapUs @4 :List(UInt32);
  totalUs @5 :List(UInt32);
  events @6 :List(UInt32);
}

struct RegisterPlaces {
  service @0 :Text;
  ids @1 :List(Text);
  workspaces @2 :List(Text);
  upstreams @3 :List(Text);
  startedAtMs @4 :List(UInt64);
  promptTokens @5 :List(UInt32);
  maxOutputTokens @6 :List(UInt32);
  bodyBytes @7 :List(UInt32);
  timeLeftMs @8 :List(UInt32);
}

struct PlacesRegistered {
  generation @0 :UInt32;
}

struct PlaceExplained {
  generation @0 :UInt32;     # 0 if the sender does not schedule the service yet
  rank @1 :UInt32;           # its place in the order of the service; 0 is the first
  decision @2 :Text;
  reason @3 :Text;
  waiting @4 :UInt32;
  ahead @5 :UInt32;
  expectedWaitUs @6 :UInt32;
  allowedWaitMs @7 :UInt32;
  chosen @8 :Text;           # an upstream; empty if the request would wait
  upstreams @9 :List(Text);
  obstacles @10 :List(Text);
  completionUs @11 :List(UInt32);
  waitUs @12 :List(UInt32);
  transitUs @13 :List(UInt32);
  prefillUs @14 :List(UInt32);
  decodeUs @15 :List(UInt32);
  penaltyUs @16 :List(UInt32);
  slownessPermille @17 :List(UInt32);
  inFlight @18 :List(UInt32);
  windows @19 :List(UInt32);
}
