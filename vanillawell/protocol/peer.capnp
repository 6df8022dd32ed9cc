@0xb3f1c9a27d5e4a61;

struct Row {
  pool @0 :Text;
  team @1 :Text;
  demand @2 :UInt32;
  usedMilliseconds @3 :UInt32;
}

struct Report {
  source @0 :Text;
  entries @1 :UInt16;
  sequence @2 :Int64;
  rows @3 :List(Row);
}

struct Beat {
  instance @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  peerHost @3 :Text;
  peerPort @4 :UInt16;
  adminPort @5 :UInt16;
  version @6 :UInt64;
  freshAgeMilliseconds @7 :UInt64;
  reports @8 :List(Report);
  adminHost @9 :Text;
}

struct Acknowledgement {
  version @0 :UInt64;
  freshAgeMilliseconds @1 :UInt64;
}

struct ConfigurationRequest {
  have @0 :UInt64;
}

struct ConfigurationReply {
  version @0 :UInt64;
  compressed @1 :Data;
}

struct Message {
  union {
    beat @0 :Beat;
    acknowledgement @1 :Acknowledgement;
    configurationRequest @2 :ConfigurationRequest;
    configurationReply @3 :ConfigurationReply;
  }
}
