@0xd5a2c1f0b7e94a63;
# The messages between the daemons of azurelanding.

struct Status {
  name @0 :Text;
  incarnation @1 :Text;
  role @2 :Text;
  zone @3 :Text;
  address @4 :Text;
  nextOffset @5 :UInt64;
  rulesVersion @6 :UInt64;
  busyHosts @7 :List(Text);
  # The draining executors that run a request of the sender now.
  stopping @8 :Bool;
  demands @9 :List(Demand);
  setAside @10 :List(Text);
  # The executors that the sender does not use because they fail.
  wants @11 :List(Demand);
  # The slots that the services of each pool want, including those that they hold.
  releasing @12 :List(Text);
  # The executors on which the sender still holds slots beyond its share.
}

struct Demand {
  pool @0 :Text;
  wanted @1 :Float32;
  # The slots of the pool that the sender could fill now.
}

struct Entry {
  offset @0 :UInt64;
  data @1 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Answer {
  outcome @0 :Text;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  target @4 :Text;
}

interface Fellow {
  exchange @0 (mine :Status) -> (theirs :Status, yourHighestOffset :UInt64);
  # Exchanges the status of the sender and of the receiver. `yourHighestOffset` is the
  # highest next offset that a daemon of the sender's name has reported to the receiver.

  records @1 (first :UInt64, limit :UInt32) -> (entries :List(Entry));
  # Returns the records of the fleet from offset `first` on, if the receiver still has them.

  state @2 (part :UInt32) -> (id :UInt64, parts :UInt32, data :Data);
  # Returns one part of the receiver's whole state. The state is captured by the call for
  # part 0 and kept for this connection. `id` is the next offset of the state.

  answer @3 (claim :Text, wait :Float64) -> (known :Bool, answer :Answer);
  # Returns the answer to the request that the receiver claimed as `claim`, after waiting
  # up to `wait` seconds for it.
}
