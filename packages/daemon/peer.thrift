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

exception AppendFailed {
  // Whether the records may be on the log all the same.
  1: bool unknown
  2: string reason
}

struct SnapshotPage {
  // Offset that the snapshot holds to.
  1: i64 offset
  // Bytes of the whole snapshot.
  2: i64 size
  3: binary content
}

service Peer {
  // Tell how the sender is, and learn how the receiver is.
  Heartbeat beat(1: Heartbeat sender)

  // Pass on what workers said when their leases were renewed.
  void report(1: list<WorkerReport> workers) throws (1: NotHolder not_holder)

  // Append encoded records for another instance.
  i64 append(1: string stream, 2: list<binary> payloads, 3: i32 timeout_ms)
    throws (1: NotHolder not_holder, 2: AppendFailed failed)

  // Read a part of the receiver's snapshot, for an instance that starts
  // while the log is down; offset -1 asks for the latest.
  SnapshotPage snapshot(1: i64 offset, 2: i64 start)
}
