// Messages of the control path: leases, the ownership table and the
// configuration. Lease messages are sent by UDP, tables and configurations by
// TCP.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "inner/message_type.h"
#include "inner/wire_archive.h"

namespace mimosadeal {

// Version of an ownership table: the controller's term, and the number of the
// change within the term.
struct TableVersion {
  uint64_t term = 0;
  uint64_t sequence = 0;

  auto operator<=>(const TableVersion&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, sequence);
  }
};

enum class UpstreamHealth : uint8_t { kUnknown, kHealthy, kUnreachable };

// What a dispatcher reports about one of its upstreams.
struct UpstreamReport {
  std::string upstream;
  // The newest table whose revocations are in force at this upstream: the
  // upstream has acknowledged them, or every older grant has certainly expired
  // and no request of a revoked shard is running any more.
  TableVersion applied;
  uint8_t health = 0;  // UpstreamHealth.
  uint32_t load_permille = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, applied, health, load_permille);
  }
};

// A dispatcher asks its controller to extend its lease. With this message it
// promises not to take part in moves of shards by a later term until the
// promise time has passed.
struct LeaseRequest {
  static constexpr MessageType kType = MessageType::kLeaseRequest;

  std::string host;
  std::string address;  // The sender's inner address.
  uint64_t term = 0;
  int64_t sent_at_ns = 0;  // The sender's clock; echoed.
  // LeaseReply::controller_time_ns of the latest reply; 0 if there is none.
  int64_t controller_echo_ns = 0;
  // Time until all promises of the sender to earlier terms have expired.
  int64_t earlier_promise_left_ns = 0;
  TableVersion table;
  uint64_t configuration_version = 0;
  bool leaving = false;
  // On the standby: LeaseReply::outage of the latest reply.
  bool outage_acknowledged = false;
  std::vector<UpstreamReport> upstreams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, address, term, sent_at_ns, controller_echo_ns,
            earlier_promise_left_ns, table, configuration_version, leaving,
            outage_acknowledged, upstreams);
  }
};

struct LeaseReply {
  static constexpr MessageType kType = MessageType::kLeaseReply;

  std::string controller;
  uint64_t term = 0;
  std::string standby;
  std::string standby_address;
  int64_t request_sent_at_ns = 0;  // Echo of LeaseRequest::sent_at_ns.
  int64_t controller_time_ns = 0;  // To be echoed in the next request.
  // Lifetime of the lease from request_sent_at_ns on. Zero does not extend it.
  int64_t ttl_ns = 0;
  // Set while the controller cannot reach the store, and until the standby has
  // acknowledged that it can again. Meanwhile only those moves take effect that
  // the standby knows, and the standby may renew leases instead of the
  // controller.
  bool outage = false;
  TableVersion table;
  uint64_t configuration_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(controller, term, standby, standby_address, request_sent_at_ns,
            controller_time_ns, ttl_ns, outage, table, configuration_version);
  }
};

// Tells a host which host is the controller of its group.
struct ControllerNotice {
  static constexpr MessageType kType = MessageType::kControllerNotice;

  uint64_t term = 0;
  std::string controller;
  std::string controller_address;
  std::string standby;
  std::string standby_address;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, controller, controller_address, standby, standby_address);
  }
};

struct TableRequest {
  static constexpr MessageType kType = MessageType::kTableRequest;

  TableVersion have;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(have);
  }
};

struct TableReply {
  static constexpr MessageType kType = MessageType::kTableReply;

  std::string table;  // Encoded by EncodeTable of package ownership.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(table);
  }
};

struct ConfigurationRequest {
  static constexpr MessageType kType = MessageType::kConfigurationRequest;

  uint64_t have_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(have_version);
  }
};

struct ConfigurationReply {
  static constexpr MessageType kType = MessageType::kConfigurationReply;

  // Encoded by EncodeStoredConfiguration of package configuration.
  std::string stored;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(stored);
  }
};

}  // namespace mimosadeal
