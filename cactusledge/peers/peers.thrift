/** Messages between entry instances. JSON documents travel as binary. */
namespace py cactusledge.peers.thrift

enum Outcome {
  NOT_RUN = 0,
  RAN = 1,
  UNKNOWN = 2,
}

/** A failure as its receiver reports it. */
exception PeerError {
  1: required string code,
  2: required string message,
  3: required string remedy,
  4: required Outcome outcome,
  5: optional double retry_after_s,
}

/**
 * What one instance knows of another. The counter grows with each interval,
 * the version with each change of leaving or state.
 */
struct MemberView {
  1: required string name,
  2: required string host,
  3: required i32 port,
  4: required string data_centre,
  5: required i64 incarnation,
  6: required i64 counter,
  7: required i32 version,
  8: required bool leaving,
  9: optional map<string, binary> state,
}

/**
 * Which view of a member the sender holds, and how long ago its counter grew
 * as far as the sender knows.
 */
struct MemberDigest {
  1: required string name,
  2: required i64 incarnation,
  3: required i64 counter,
  4: required i32 version,
  5: required i32 age_ms,
}

struct Heartbeat {
  1: required string sender,
  2: required list<MemberView> members,
  3: required list<MemberDigest> digest,
}

/** Newer views and digests, and names whose views the replier lacks. */
struct HeartbeatReply {
  1: required list<MemberView> members,
  2: required list<MemberDigest> digest,
  3: required list<string> wanted,
}

struct ForwardedCall {
  1: required string call_id,
  2: required string program_id,
  3: required i64 seq,
  4: required string sender,
  5: required double deadline_s,
  6: required binary document,
  7: optional map<string, string> headers,
}

struct CallHandle {
  1: required string call_id,
  2: required string driver,
}

struct CallEvent {
  1: required i32 offset,
  2: optional string text,
  3: optional binary answer,
}

struct EventBatch {
  1: required list<CallEvent> events,
  2: required i32 next_offset,
  3: required bool finished,
}

struct OpenRequest {
  1: required string program_id,
  2: required binary document,
  3: optional map<string, string> headers,
}

struct EndRequest {
  1: required string program_id,
  2: required string reason,
}

struct ProgramReply {
  1: required string program_id,
  2: required binary document,
}

struct HistoryRequest {
  1: required string program_id,
  2: required i64 after_seq,
  3: required i32 limit,
}

struct HistoryReply {
  1: required string program_id,
  2: required binary document,
  3: required bool complete,
}

struct GrantRequest {
  1: required string job_id,
  2: required string group,
  3: required string sender,
  4: required binary job,
  5: required i32 wait_ms,
}

/** Without an endpoint the job still waits: ask again with its id. */
struct GrantReply {
  1: required string job_id,
  2: optional string grant_id,
  3: optional string endpoint,
  4: optional binary document,
}

struct GrantFinish {
  1: required string grant_id,
  2: required string group,
  3: required binary document,
}

enum ProgramEventKind {
  PAUSED = 0,
  ENDED = 1,
}

struct ProgramEvent {
  1: required string program_id,
  2: required ProgramEventKind kind,
  3: required binary document,
}

/** Journal records of one log that wait for the platform. */
struct HeldBatch {
  1: required string log,
  2: required i64 number,
  3: required string owner,
  4: required binary records,
}

struct ConfigReply {
  1: required i64 generation,
  2: optional binary document,
}

service Peers {
  HeartbeatReply heartbeat(1: Heartbeat message) throws (1: PeerError error),
  CallHandle forward_call(1: ForwardedCall call) throws (1: PeerError error),
  EventBatch poll_call(1: string call_id, 2: i32 offset, 3: i32 wait_ms)
    throws (1: PeerError error),
  ProgramReply open_program(1: OpenRequest message)
    throws (1: PeerError error),
  ProgramReply end_program(1: EndRequest message)
    throws (1: PeerError error),
  HistoryReply read_history(1: HistoryRequest message)
    throws (1: PeerError error),
  GrantReply request_grant(1: GrantRequest message)
    throws (1: PeerError error),
  void finish_grant(1: GrantFinish message) throws (1: PeerError error),
  void program_event(1: ProgramEvent message) throws (1: PeerError error),
  void hold_records(1: HeldBatch batch) throws (1: PeerError error),
  list<HeldBatch> held_records(1: string log) throws (1: PeerError error),
  void drop_held(1: string log, 2: i64 up_to) throws (1: PeerError error),
  ConfigReply get_config(1: i64 known_generation)
    throws (1: PeerError error),
}
