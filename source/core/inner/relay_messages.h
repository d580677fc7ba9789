// Messages by which a host that has lost its paths to the upstreams of a
// service has other hosts send its requests. Probes and offers are datagrams;
// the others are sent by TCP, all of one request on one connection.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "inner/message_type.h"
#include "inner/request_messages.h"
#include "inner/wire_archive.h"

namespace mimosadeal {

// Asks a host which services it has paths to.
struct RelayProbe {
  static constexpr MessageType kType = MessageType::kRelayProbe;

  std::string address;  // The sender's inner address, for the reply.
  std::string zone;     // The sender's.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, zone);
  }
};

// The reply of a host that takes requests of others.
struct RelayOffer {
  static constexpr MessageType kType = MessageType::kRelayOffer;

  std::string address;  // The sender's inner address.
  std::string zone;     // The sender's.
  std::vector<std::string> services;
  // Inner addresses of further hosts to ask.
  std::vector<std::string> hosts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, zone, services, hosts);
  }
};

// A request to be sent to an upstream as it is, at most once. The receiver
// never passes it on to a third host.
struct RelayRequest {
  static constexpr MessageType kType = MessageType::kRelayRequest;

  uint64_t id = 0;  // Chosen by the sender; echoed in the reply. Comes first.
  std::string upstream;
  int64_t incarnation = 0;
  std::string request_id;    // Of the caller.
  uint64_t fingerprint = 0;  // See RequestFingerprint.
  bool require_new_connection = false;
  uint32_t timeout_ms = 0;
  // The upstream must not get the request later than this, from its arrival.
  uint32_t send_within_ms = 0;
  std::string method;
  std::string target;
  std::vector<WireHeader> headers;
  std::string body;  // Comes last; see EncodeBodyBefore.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, upstream, incarnation, request_id, fingerprint,
            require_new_connection, timeout_ms, send_within_ms, method, target,
            headers, body);
  }
};

enum class RelayStatus : uint8_t {
  kDone,  // See ExchangeResult.
  // Not sent: this host takes no more requests. With ClientFailure::kTooLarge,
  // no more of this length.
  kDeclined,
  kUnreached,  // Not sent: this host does not reach the upstream either.
};

struct RelayReply {
  static constexpr MessageType kType = MessageType::kRelayReply;

  uint64_t id = 0;     // Comes first.
  uint8_t status = 0;  // RelayStatus.
  // As in ExchangeResult.
  uint8_t failure = 0;
  uint8_t end = 0;
  bool request_written = false;
  bool response_started = false;
  bool reused = false;
  int32_t http_status = 0;
  std::string content_type;
  std::vector<WireHeader> headers;
  std::string body;  // Comes last.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, status, failure, end, request_written, response_started, reused,
            http_status, content_type, headers, body);
  }
};

// The sender of the request no longer waits for its response.
struct RelayCancel {
  static constexpr MessageType kType = MessageType::kRelayCancel;

  uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

// Returns the id of a request or reply of which `begun` has arrived, or nothing
// if that is not long enough.
inline std::optional<uint64_t> PeekRelayId(std::string_view begun) {
  uint64_t id = 0;
  if (begun.size() < sizeof(id)) return std::nullopt;
  WireInputArchive archive(begun);
  archive(id);
  return id;
}

}  // namespace mimosadeal
