// Messages of the request path: dispatching and cancelling requests, and
// replicating the ledger of non-idempotent requests. All are sent by TCP.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "inner/control_messages.h"
#include "inner/message_type.h"
#include "inner/wire_archive.h"

namespace mimosadeal {

// What is known about whether a request ran, once it is finished or abandoned.
enum class RequestOutcome : uint8_t { kRan, kNotRun, kUnknown };

// The first message on each connection that a host opens.
struct Hello {
  static constexpr MessageType kType = MessageType::kHello;

  std::string host;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host);
  }
};

struct WireHeader {
  std::string name;
  std::string value;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, value);
  }
};

struct DispatchRequest {
  static constexpr MessageType kType = MessageType::kDispatchRequest;

  // Identifies the request on this connection; echoed in the reply.
  uint64_t ticket = 0;
  std::string service;
  uint32_t shard = 0;
  std::string rank;
  std::string tenant;
  // The idempotency key, or, if `has_key` is false, an id that the host that
  // received the request made.
  std::string id;
  bool has_key = false;
  bool idempotent = false;
  uint8_t hops = 0;  // Number of hosts that have forwarded the request.
  int64_t time_left_us = 0;
  std::string method;
  std::string path;  // Percent-encoded, with the query.
  std::vector<WireHeader> headers;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(ticket, service, shard, rank, tenant, id, has_key, idempotent, hops,
            time_left_us, method, path, headers, body);
  }
};

enum class DispatchStatus : uint8_t {
  kAnswered,        // The upstream's complete response.
  kRefused,         // Admission refused it; not run.
  kNoOwner,         // The host is not the shard's dispatcher now; not run.
  kUpstreamLost,    // The connection to the upstream failed; see the outcome.
  kUpstreamSilent,  // The upstream stopped responding; see the outcome.
  kDeadline,        // The deadline passed; see the outcome.
  kConflict,        // The id was used before for a different request.
};

struct DispatchReply {
  static constexpr MessageType kType = MessageType::kDispatchReply;

  uint64_t ticket = 0;
  uint8_t status = 0;   // DispatchStatus.
  uint8_t outcome = 0;  // RequestOutcome.
  // Whether this is the stored outcome of an earlier request with the same id.
  bool replayed = false;
  int32_t http_status = 0;
  int32_t retry_after_ms = 0;
  std::string detail;
  std::vector<WireHeader> headers;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(ticket, status, outcome, replayed, http_status, retry_after_ms,
            detail, headers, body);
  }
};

struct DispatchCancel {
  static constexpr MessageType kType = MessageType::kDispatchCancel;

  uint64_t ticket = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(ticket);
  }
};

// An entry of the ledger of non-idempotent requests, as stored by replicas.
struct LedgerRecord {
  std::string service;
  std::string id;
  uint32_t shard = 0;
  uint64_t fingerprint = 0;  // Hash of method, path and body.
  bool finished = false;
  uint8_t outcome = 0;  // RequestOutcome.
  int32_t http_status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = false;
  int64_t age_ms = 0;  // Age of the entry when it is sent.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, id, shard, fingerprint, finished, outcome, http_status,
            content_type, body, body_kept, age_ms);
  }
};

// Sends ledger entries to the replica. If `complete` is set, the replica has
// all entries of the sender after this update.
struct LedgerUpdate {
  static constexpr MessageType kType = MessageType::kLedgerUpdate;

  std::string host;  // The host whose ledger it is.
  // Identifies a sequence of updates. A new stream starts with an empty
  // replica.
  uint64_t stream = 0;
  uint64_t sequence = 0;
  bool complete = false;
  std::vector<LedgerRecord> records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, stream, sequence, complete, records);
  }
};

struct LedgerAck {
  static constexpr MessageType kType = MessageType::kLedgerAck;

  uint64_t stream = 0;
  uint64_t sequence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(stream, sequence);
  }
};

struct ShardReference {
  std::string service;
  uint32_t shard = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, shard);
  }
};

// Requests the entries of `shards` in the ledger of `host`, from that host or
// from its replica.
struct LedgerFetch {
  static constexpr MessageType kType = MessageType::kLedgerFetch;

  uint64_t fetch = 0;  // Identifies the request; echoed in the reply.
  std::string host;
  std::vector<ShardReference> shards;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fetch, host, shards);
  }
};

struct LedgerEntries {
  static constexpr MessageType kType = MessageType::kLedgerEntries;

  uint64_t fetch = 0;
  bool complete = false;  // Whether the sender has all requested entries.
  std::vector<LedgerRecord> records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fetch, complete, records);
  }
};

}  // namespace mimosadeal
