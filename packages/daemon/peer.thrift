// What entry instances say to each other, framed over TCP in the compact
// protocol. "make thrift" generates the committed code in swifthoistd/gen.

namespace py peer

struct Heartbeat {
  1: string instance
  2: i64 incarnation
  3: string zone
  // Offset of the next record that the sender will fold.
  4: i64 offset
  // Whether the sender takes no new work.
  5: bool leaving
  // Requests in progress at each runner, by runner id.
  6: map<string, i32> in_flight
  // Epoch of the cell that the sender holds, 0 for none.
  7: i64 holds_epoch
  // Runners that are known to leave, with the incarnation that ends.
  8: map<string, i64> departed
}

struct PartReport {
  1: string worker
  2: string job_id
  3: i32 attempt
  4: i32 part
  5: string state
  6: i32 accelerators
  7: i64 started_ms
  8: i64 stopped_ms
  9: string reason
}

struct WorkerReport {
  1: string worker
  // Whether the worker answered.
  2: bool reached
  3: list<PartReport> parts
}

exception NotHolder {
  1: string holder
}

struct SnapshotPage {
  // Names the snapshot among those that the receiver keeps.
  1: i64 token
  // Number of chunks of the whole snapshot.
  2: i32 total
  3: list<binary> chunks
}

service Peer {
  // Tell how the sender is, and learn how the receiver is.
  Heartbeat beat(1: Heartbeat sender)

  // Pass on what workers said when their leases were renewed.
  void report(1: list<WorkerReport> workers) throws (1: NotHolder not_holder)

  // Ask the holder of the cell to append encoded records of one author, in
  // order; tells whether they are queued.
  bool offer(1: list<binary> payloads) throws (1: NotHolder not_holder)

  // Read chunks of the receiver's state, for an instance that starts while
  // the log is down; token 0 asks for a new snapshot.
  SnapshotPage snapshot(1: i64 token, 2: i32 first)
}
