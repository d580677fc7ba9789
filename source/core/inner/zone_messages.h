// Messages between hosts that discover each other through the platform's store:
// about the holders of zone leases, updates of the store, requests that crash
// upstreams, upstreams that are leaving, and load by key. They are datagrams
// unless their comment says otherwise. A lost datagram is sent again or is not
// needed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "inner/message_type.h"
#include "inner/wire_archive.h"

namespace mimosadeal {

// ZoneHello::takeover_delay_ms of a host that does not take the lease.
inline constexpr uint32_t kNoTakeover = 0xFFFFFFFF;

// A host asks the holder of a zone's lease for its state.
struct ZoneHello {
  static constexpr MessageType kType = MessageType::kZoneHello;

  std::string zone;     // The zone of the lease.
  std::string host;     // The sender.
  std::string address;  // The sender's inner address, for the reply.
  bool home = false;    // Whether the zone is the sender's home zone.
  // Revisions of the sender's copies, by ViewKind; empty if it requests no
  // feed.
  std::vector<uint64_t> revisions;
  bool resync = false;  // The sender needs updates in full.
  // Delay of the sender's attempts to take a free lease, which lets faster
  // hosts try first; kNoTakeover if it makes none.
  uint32_t takeover_delay_ms = 0;
  int64_t sent_at_ms = 0;  // The sender's clock; echoed.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, host, address, home, revisions, resync, takeover_delay_ms,
            sent_at_ms);
  }
};

// The reply to a ZoneHello.
struct ZoneStatus {
  static constexpr MessageType kType = MessageType::kZoneStatus;

  std::string zone;
  // The sender's tenure if the lease names one, which may have ended; else its
  // process. Hosts of former builds name their process.
  std::string process;
  // Of the lease, if it names the sender's process; else 0.
  uint64_t term = 0;
  bool active = false;  // Whether the sender holds the lease and may act on it.
  uint64_t lease_revision = 0;  // The newest that the sender knows.
  // Maximum time since the sender sent the write of that revision; -1 if
  // another host wrote it.
  int64_t lease_age_ms = -1;
  // Whether the sender can read the store and replicates its updates.
  bool replicating = false;
  // Revisions of the sender's copies, by ViewKind, if it replicates updates.
  std::vector<uint64_t> revisions;
  int64_t hello_sent_at_ms = 0;  // Echo of ZoneHello::sent_at_ms.
  // Time since the sender last verified that its copies are the newest, by
  // ViewKind; -1 if it never did.
  std::vector<int64_t> ages_ms;
  // Time since the store became reachable for the sender after a failure; -1 if
  // it never failed.
  int64_t store_recovered_ms_ago = -1;
  // Inner addresses of the zone's hosts that the sender receives messages from;
  // empty in most replies.
  std::vector<std::string> peers;
  // Inner addresses of the lease holders of other zones, sent with `peers`.
  std::vector<std::string> other_holders;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, process, term, active, lease_revision, lease_age_ms,
            replicating, revisions, hello_sent_at_ms, ages_ms,
            store_recovered_ms_ago, peers, other_holders);
  }
};

// Which hosts a report still has to be forwarded to.
enum class ReportScope : uint8_t {
  kHost,        // None; it is for the receiver only.
  kZone,        // The hosts of the receiver's zone.
  kOtherZones,  // Those, and the holders of the other zones' leases.
};

// The new holder of a zone's lease announces itself to the zone's hosts, so
// that they need not read the lease from the store.
struct LeaseNotice {
  static constexpr MessageType kType = MessageType::kLeaseNotice;

  std::string zone;
  uint64_t revision = 0;  // Of the lease in the store.
  std::string holder;
  std::string process;
  std::string address;
  uint64_t term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, revision, holder, process, address, term);
  }
};

struct ViewObject {
  std::string name;
  uint64_t revision = 0;
  bool deleted = false;
  std::string content;  // JSON text.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, revision, deleted, content);
  }
};

// Updates that the holder of a zone's lease read from the store and replicates
// to its followers, the zone's other hosts. Sent by TCP.
struct ViewUpdate {
  static constexpr MessageType kType = MessageType::kViewUpdate;

  std::string process;    // The sender's tenure of the lease.
  uint8_t kind = 0;       // ViewKind.
  bool full = false;      // The update contains all objects of its kind.
  uint64_t base = 0;      // The revision that the update applies to.
  uint64_t revision = 0;  // The revision after the update.
  // Time since the store became reachable for the sender after a failure; -1 if
  // it never failed.
  int64_t store_recovered_ms_ago = -1;
  std::vector<ViewObject> objects;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(process, kind, full, base, revision, store_recovered_ms_ago,
            objects);
  }
};

// Reports a request whose upstream crashed while it ran there.
//
// A host sends the report to the holder of its zone's lease, which forwards it
// to its followers and to the holders of the other zones' leases.
// `host == address` marks a report that was already forwarded between zones:
// its receiver forwards it to its own followers only.
struct CrashReport {
  static constexpr MessageType kType = MessageType::kCrashReport;

  std::string host;          // The host that observed the crash; see above.
  std::string address;       // The inner address of that host.
  uint64_t fingerprint = 0;  // Of the request.
  std::string upstream;
  bool forward = false;  // Set if the receiver, a lease holder, forwards it.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, address, fingerprint, upstream, forward);
  }
};

// A range table that the holder of a lease has just written, sent so that hosts
// receive it before the store's watches report it. A host without the table
// that the step applies to waits for the watch. Sent by TCP.
struct TableStepNotice {
  static constexpr MessageType kType = MessageType::kTableStepNotice;

  std::string service;
  uint64_t revision = 0;  // Of the table in the store.
  // JSON text, encoded by EncodeRangeTableStep of package ranges.
  std::string step;
  uint8_t scope = 0;  // ReportScope.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, revision, step, scope);
  }
};

// Tells the holder of another zone's lease that the store has a change, which
// its own watch must bring too.
struct ChangeNotice {
  static constexpr MessageType kType = MessageType::kChangeNotice;

  uint8_t kind = 0;       // ViewKind.
  uint64_t revision = 0;  // Of the object that changed.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, revision);
  }
};

// An upstream that announced in a response that it is leaving.
struct LeavingReport {
  static constexpr MessageType kType = MessageType::kLeavingReport;

  std::string upstream;
  int64_t incarnation = 0;
  uint8_t scope = 0;  // ReportScope.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, incarnation, scope);
  }
};

// What the sender knows of the limit of an upstream: the requests per second
// that it takes from all hosts together.
struct LimitStatement {
  bool limited = false;
  double per_second = 0;  // If `limited`.
  // Time since a host read it in a response of the upstream; -1 if none did.
  int64_t age_ms = -1;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(limited, per_second, age_ms);
  }
};

// An upstream stated another limit, or none any more. Sent by TCP.
struct LimitReport {
  static constexpr MessageType kType = MessageType::kLimitReport;

  std::string upstream;
  int64_t incarnation = 0;
  LimitStatement limit;
  uint8_t scope = 0;  // ReportScope.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, incarnation, limit, scope);
  }
};

// A host asks for a permit to send one request to an upstream with a limit. The
// receiver forwards it if another host gives the permits for the upstream.
struct PermitRequest {
  static constexpr MessageType kType = MessageType::kPermitRequest;

  uint64_t id = 0;      // Chosen by the asking host; echoed.
  std::string address;  // The asking host's inner address, for the reply.
  std::string upstream;
  int64_t incarnation = 0;
  std::string zone;  // Of the upstream.
  int32_t rank = 0;  // Of the request; 0 is the most urgent.
  // How long the request may still wait for its permit.
  uint32_t wait_ms = 0;
  LimitStatement limit;
  uint32_t hops = 0;  // How many hosts have forwarded it.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, address, upstream, incarnation, zone, rank, wait_ms, limit,
            hops);
  }
};

// A PermitRequest for an upstream that the asking host takes for cold. Hosts of
// former builds do not answer it: they would give a permit without a limit.
struct ColdPermitRequest {
  static constexpr MessageType kType = MessageType::kColdPermitRequest;

  PermitRequest request;
  uint32_t cold_ms = 0;  // How long the upstream still counts as cold.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, cold_ms);
  }
};

// An upstream refused a connection, and counts as cold when it is back: it may
// have started anew.
struct ColdReport {
  static constexpr MessageType kType = MessageType::kColdReport;

  std::string upstream;
  uint32_t cold_ms = 0;  // How long it counts as cold.
  uint8_t scope = 0;     // ReportScope.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, cold_ms, scope);
  }
};

// The reply to a PermitRequest or a ColdPermitRequest.
struct PermitReply {
  static constexpr MessageType kType = MessageType::kPermitReply;

  uint64_t id = 0;
  bool granted = false;
  // If not granted, when it is worth asking again.
  uint32_t retry_after_ms = 0;
  LimitStatement limit;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, granted, retry_after_ms, limit);
  }
};

// The busy time that requests by key of one service caused since the last
// report.
struct LoadReport {
  static constexpr MessageType kType = MessageType::kLoadReport;

  std::string host;
  std::string service;
  uint32_t period_ms = 0;
  // Cells of keys with load, and their busy time in milliseconds of one slot.
  std::vector<uint16_t> cells;
  std::vector<uint32_t> busy_ms;
  // Upstreams, and the expected and the actual time of their responses in
  // milliseconds.
  std::vector<std::string> upstreams;
  std::vector<uint32_t> expected_ms;
  std::vector<uint32_t> taken_ms;
  // Set in reports to the holder of the home zone's lease, which adds them to
  // its own and reports the sums to the other zones.
  bool forward = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, service, period_ms, cells, busy_ms, upstreams, expected_ms,
            taken_ms, forward);
  }
};

}  // namespace mimosadeal
