// Messages of the request path: dispatching, cancelling, and replicating the
// ledger of non-idempotent requests. All travel by TCP.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "inner/control_messages.h"
#include "inner/message_type.h"
#include "inner/wire_archive.h"

namespace mimosadeal {

// What is known of a request after it was given up or answered.
enum class RequestOutcome : uint8_t { kRan, kNotRun, kUnknown };

// The first message on each connection.
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

  uint64_t ticket =
      0;  // Names the request on this connection; echoed in the reply.
  std::string service;
  uint32_t shard = 0;
  std::string rank;
  std::string tenant;
  std::string id;  // The idempotency key, or an id of the ingress's own when
                   // `has_key` is false.
  bool has_key = false;
  bool idempotent = false;
  uint8_t hops = 0;  // Hosts that have passed the request on.
  int64_t time_left_us = 0;
  std::string method;
  std::string path;  // Encoded, with the query.
  std::vector<WireHeader> headers;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(ticket, service, shard, rank, tenant, id, has_key, idempotent, hops,
            time_left_us, method, path, headers, body);
  }
};

enum class DispatchStatus : uint8_t {
  kAnswered,        // The upstream's whole answer.
  kRefused,         // Admission refused it; not run.
  kNoOwner,         // This host is not the shard's dispatcher now; not run.
  kUpstreamLost,    // The connection to the upstream failed; see the outcome.
  kUpstreamSilent,  // The upstream ceased to answer anything; see the outcome.
  kDeadline,        // The deadline passed; see the outcome.
  kConflict,        // The id was used before for a different request.
};

struct DispatchReply {
  static constexpr MessageType kType = MessageType::kDispatchReply;

  uint64_t ticket = 0;
  uint8_t status = 0;   // DispatchStatus.
  uint8_t outcome = 0;  // RequestOutcome.
  bool replayed =
      false;  // The stored outcome of an earlier request with the same id.
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

// One entry of the ledger of non-idempotent requests, as replicas keep it.
struct LedgerRecord {
  std::string service;
  std::string id;
  uint32_t shard = 0;
  uint64_t fingerprint = 0;  // Of method, path and body.
  bool finished = false;
  uint8_t outcome = 0;  // RequestOutcome.
  int32_t http_status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = false;
  int64_t age_ms =
      0;  // Time since the entry was made, at the moment of sending.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, id, shard, fingerprint, finished, outcome, http_status,
            content_type, body, body_kept, age_ms);
  }
};

// Sends entries to the replica. `complete` tells that with this update the
// replica holds all of the sender's entries.
struct LedgerUpdate {
  static constexpr MessageType kType = MessageType::kLedgerUpdate;

  std::string host;  // Whose ledger this is.
  uint64_t stream =
      0;  // Names one run of updates; a new one starts from nothing.
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

// Asks for the entries of `shards` that came from `host`: its own ledger, or
// its replica's copy.
struct LedgerFetch {
  static constexpr MessageType kType = MessageType::kLedgerFetch;

  uint64_t fetch = 0;  // Echoed.
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
  bool complete = false;  // False when the sender does not hold the whole of
                          // what was asked for.
  std::vector<LedgerRecord> records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fetch, complete, records);
  }
};

}  // namespace mimosadeal
