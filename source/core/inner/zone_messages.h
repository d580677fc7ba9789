// Messages between hosts that find each other in the platform's store: about
// the holders of zone leases, requests that crash upstreams, and load by key.
// Datagrams but for ViewUpdate; each is sent again, or its loss is borne.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "inner/message_type.h"
#include "inner/wire_archive.h"

namespace mimosadeal {

// A host asks the holder of a zone's lease whether it lives.
struct ZoneHello {
  static constexpr MessageType kType = MessageType::kZoneHello;

  std::string zone;     // Whose lease is meant.
  std::string host;     // The sender.
  std::string address;  // The sender's inner address, for the answer.
  bool home = false;    // The sender stands in that zone.
  // Revisions of the sender's copies, by ViewKind; empty if it wants no feed.
  std::vector<uint64_t> revisions;
  bool resync = false;  // The sender needs whole updates.
  // By how much the sender lets faster hosts come first for a free lease.
  uint32_t takeover_delay_ms = 0;
  int64_t sent_at_ms = 0;  // The sender's clock; echoed.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, host, address, home, revisions, resync, takeover_delay_ms,
            sent_at_ms);
  }
};

// The answer to a ZoneHello.
struct ZoneStatus {
  static constexpr MessageType kType = MessageType::kZoneStatus;

  std::string zone;
  std::string process;  // Unique to the sender's process.
  uint64_t term = 0;    // Of the lease that the sender holds; 0 if none.
  bool active = false;  // The sender holds the lease and may act on it.
  uint64_t lease_revision = 0;  // Of the lease as the sender knows it.
  // How long ago the sender sent the write with that revision, at most; -1 if
  // it did not write it.
  int64_t lease_age_ms = -1;
  // The sender reads the store without fault, and sends what it reads.
  bool replicating = false;
  // Revisions of the sender's copies, by ViewKind, while it feeds.
  std::vector<uint64_t> revisions;
  int64_t hello_sent_at_ms = 0;  // Echo of ZoneHello::sent_at_ms.
  // How old the sender's proofs are that its copies are the newest, by
  // ViewKind; -1 where it has none.
  std::vector<int64_t> ages_ms;
  // How long ago the store answered the sender again after a failure; -1 if it
  // never failed.
  int64_t store_recovered_ms_ago = -1;
  // Inner addresses of the zone's hosts that the sender hears from; empty in
  // most answers.
  std::vector<std::string> peers;
  // With them, those of the other zones' holders.
  std::vector<std::string> other_holders;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, process, term, active, lease_revision, lease_age_ms,
            replicating, revisions, hello_sent_at_ms, ages_ms,
            store_recovered_ms_ago, peers, other_holders);
  }
};

// How far a report still travels.
enum class ReportScope : uint8_t {
  kHost,        // To the receiver only.
  kZone,        // To the receiver and the hosts of its zone.
  kOtherZones,  // And to the holders of the other zones' leases.
};

// The new holder of a zone's lease tells the zone's hosts, so that they need
// not ask the store.
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

// What the holder of a zone's lease read from the store, for the zone's other
// hosts. By TCP.
struct ViewUpdate {
  static constexpr MessageType kType = MessageType::kViewUpdate;

  std::string process;  // The sender's.
  uint8_t kind = 0;     // ViewKind.
  bool full = false;    // All objects there are.
  uint64_t base = 0;
  uint64_t revision = 0;
  // How long ago the store answered the sender again after a failure; -1 if it
  // never failed.
  int64_t store_recovered_ms_ago = -1;
  std::vector<ViewObject> objects;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(process, kind, full, base, revision, store_recovered_ms_ago,
            objects);
  }
};

// A request whose upstream died while it ran there.
struct CrashReport {
  static constexpr MessageType kType = MessageType::kCrashReport;

  std::string host;  // That saw the crash.
  std::string address;
  uint64_t fingerprint = 0;
  std::string upstream;
  bool forward = false;  // Set for the holder of a lease, who passes it on.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, address, fingerprint, upstream, forward);
  }
};

// A range table that the holder of a lease has just written, told before the
// store's watches do. By TCP; who lacks its base waits for the watch.
struct TableStepNotice {
  static constexpr MessageType kType = MessageType::kTableStepNotice;

  std::string service;
  uint64_t revision = 0;  // Of the table in the store.
  std::string step;       // EncodeRangeTableStep of package ranges, as text.
  uint8_t scope = 0;      // ReportScope.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, revision, step, scope);
  }
};

// An upstream that said in an answer that it leaves.
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

// The busy time that keys of one service cost since the last report.
struct LoadReport {
  static constexpr MessageType kType = MessageType::kLoadReport;

  std::string host;
  std::string service;
  uint32_t period_ms = 0;
  // Cells with load, and their busy time in milliseconds of one slot.
  std::vector<uint16_t> cells;
  std::vector<uint32_t> busy_ms;
  // Upstreams, the time that their answers should have taken, and what they
  // took, in milliseconds.
  std::vector<std::string> upstreams;
  std::vector<uint32_t> expected_ms;
  std::vector<uint32_t> taken_ms;
  bool forward = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, service, period_ms, cells, busy_ms, upstreams, expected_ms,
            taken_ms, forward);
  }
};

}  // namespace mimosadeal
