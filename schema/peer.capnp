# The link between entry hosts. Regenerate src/peer/peer_capnp.rs with capnpc 0.27.
@0x801cbf399ca15227;

# What both sides tell each other, once per interval and at once when there is news.
#
# A digest holds what has changed since the sender's digest before it on the same connection.
# Processes and upstreams are named once per connection; later digests use their position, counted
# from 0 in the order of naming. Position 0 of the processes is the sender.
struct Digest {
  millis @0 :UInt64;             # The sender's hybrid logical clock.
  count @1 :UInt32;
  beat @2 :UInt32;               # The sender's own heartbeat counter.
  fingerprint @3 :UInt64;        # Over kind, name and version of every record in force.
  versions @4 :UInt64;           # Sum of the versions of all records in force.
  leaving @5 :Bool;              # The sender leaves in order.
  processes @6 :List(Process);   # Processes named for the first time.
  beats @7 :List(Beat);          # Newer heartbeats of other hosts, relayed.
  upstreams @8 :List(Upstream);  # Upstreams named for the first time.
  loads @9 :List(Load);          # Upstreams whose figures have changed.
  recent @10 :List(Version);     # Records that have come into force.
  leaves @12 :List(Leave);       # Upstreams that some host has seen to be leaving.
  stale @11 :Bool;               # The sender was paused and has not heard of the newest records.
  registryAge @13 :UInt16;       # Age in ms of the newest read of the platform's store that the sender heard of.
  members @14 :UInt64;           # Hash over the processes that the sender knows, its own included.
  registryEra @15 :UInt32;       # Newest era of the platform's store that the sender knows of.
  limits @16 :List(Limit);       # Rate limits that upstreams have named or no longer name.
  requestReports @17 :List(RequestReport);  # Requests under which upstreams have ended.
  evacuations @18 :List(Evacuation);  # Data centres whose upstreams are, or were lately, to get nothing.
  cold @19 :List(Cold);          # Upstreams that have said to be cold.
}

# One run of the daemon on an entry host.
struct Process {
  host @0 :Text;
  dataCentre @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  linkMbps @4 :UInt32;           # Bandwidth of the host's network link; 0 if unknown.
}

struct Beat {
  process @0 :UInt16;
  age @1 :UInt8;                 # In units of 20 ms.
  left @2 :Bool;
  counter @3 :UInt32;
  dead @4 :Bool;                 # A neighbour of the process has declared it dead.
}

struct Upstream {
  service @0 :Text;
  name @1 :Text;
}

struct Load {
  upstream @0 :UInt16;
  inFlight @1 :UInt16;           # The sender's own requests in flight.
  load @2 :UInt16;               # The newest figure of the upstream's own, 65535 for none.
  age @3 :UInt8;                 # The figure's age in units of 20 ms.
  leaving @4 :Bool;
}

struct Leave {
  upstream @0 :UInt16;
  age @1 :UInt8;                 # In units of 20 ms.
}

struct Limit {
  upstream @0 :UInt16;
  perSecond @1 :Float64;         # Requests per second from all hosts together; negative if it has ended.
  ageMs @2 :UInt32;              # Time since any host saw this in a response.
}

struct Evacuation {
  dataCentre @0 :Text;
  active @1 :Bool;               # Whether it is in force or was taken back.
  era @2 :UInt32;                # The era and the revision of the platform's store in which a host read of it.
  revision @3 :UInt64;
}

struct Cold {
  upstream @0 :UInt16;
  remainingMs @1 :UInt32;        # Time until it is warm again.
}

# A request for a part of a team's allowance.
struct AllowanceAsk {
  team @0 :Text;
  wanted @1 :UInt32;             # Requests.
}

struct AllowanceGrant {
  granted @0 :UInt32;            # Requests.
  retryAfterMs @1 :UInt32;       # Time until the allowance has room again, if less was granted than wanted.
  isOwner @2 :Bool;              # Whether the host keeps this allowance, so that the other fields mean something.
  spareMs @3 :UInt32;            # Time for which requests granted beyond those wanted may be used.
}

struct RequestReport {
  fingerprint @0 :UInt64;        # Of the request.
  upstream @1 :UInt64;           # Hash of the name of the upstream that has ended; 0 if one has answered, 1 if the host has blocked it.
  ageMs @2 :UInt32;              # Time since a host saw this.
  tookMs @3 :UInt32;             # Time from the sending of the request until then.
}

enum Kind {
  profile @0;
  service @1;
  routing @2;
  host @3;
}

struct Version {
  kind @0 :Kind;
  version @1 :UInt64;
  name @2 :Text;
}

interface Peer {
  # Tells and asks for a digest. Only the side that dialled calls it, one call at a time.
  exchange @0 (digest :Digest) -> (digest :Digest);
  # Asks the side that dialled for an exchange at once.
  nudge @1 () -> ();
  # Returns the version of every record in force.
  versions @2 () -> (versions :List(Version));
  # Returns records as JSON: as many of the wanted as fit, in order, at least one.
  records @3 (wanted :List(Version)) -> (records :List(Data));
  # Asks for parts of allowances that the host keeps. One grant for each ask, in order.
  allowances @4 (asks :List(AllowanceAsk), routes :UInt64) -> (grants :List(AllowanceGrant));
  # Returns the routes in force as deflated JSON: the changes since those that the caller holds, in order,
  # or the whole record if some of these are no longer known or together are larger. A fingerprint of 0
  # stands for no routes.
  routes @5 (held :UInt64) -> (changes :List(Data), whole :Data);
}
