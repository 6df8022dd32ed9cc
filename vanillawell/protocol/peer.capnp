@0xb3f1c9a27d5e4a61;

struct Row {
  pool @0 :UInt16;
  organisation @1 :UInt16;
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
  assignment @10 :UInt64;
}

struct Acknowledgement {
  version @0 :UInt64;
  freshAgeMilliseconds @1 :UInt64;
  assignment @2 :UInt64;
}

enum DocumentKind {
  configuration @0;
  assignment @1;
}

struct DocumentRequest {
  kind @0 :DocumentKind;
  have @1 :UInt64;
}

struct DocumentReply {
  kind @0 :DocumentKind;
  version @1 :UInt64;
  document @2 :Data;
}

struct Message {
  union {
    beat @0 :Beat;
    acknowledgement @1 :Acknowledgement;
    documentRequest @2 :DocumentRequest;
    documentReply @3 :DocumentReply;
  }
}
