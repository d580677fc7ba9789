// Messages of the control path: leases, the ownership table and the
// configuration's version. Lease messages travel by UDP, tables and
// configurations by TCP.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "inner/message_type.h"
#include "inner/wire_archive.h"

namespace mimosadeal {

// Orders ownership tables: by the controller's term, then by the change within
// it.
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

// What a dispatcher reports of one upstream that it sends to.
struct UpstreamReport {
  std::string upstream;
  // The newest table whose revocations are in force at this upstream:
  // acknowledged by it, or every older grant has certainly lapsed, with no
  // request of a revoked shard still running.
  TableVersion applied;
  uint8_t health = 0;  // UpstreamHealth.
  uint32_t load_permille = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, applied, health, load_permille);
  }
};

// A dispatcher asks its controller to extend its lease. By sending it the
// dispatcher promises not to help a later term to move anything until the
// promise time has passed.
struct LeaseRequest {
  static constexpr MessageType kType = MessageType::kLeaseRequest;

  std::string host;
  std::string address;  // The sender's inner address.
  uint64_t term = 0;
  int64_t sent_at_ns = 0;  // The sender's clock; echoed.
  int64_t controller_echo_ns =
      0;  // The controller's clock, from its latest reply; 0 if none.
  // Time until the sender's promises to earlier terms have all passed.
  int64_t earlier_promise_left_ns = 0;
  TableVersion table;
  uint64_t configuration_version = 0;
  bool leaving = false;
  // The standby's answer to LeaseReply::outage.
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
  int64_t ttl_ns = 0;  // Counted from request_sent_at_ns; zero extends nothing.
  // The controller cannot reach the store: until this ends it moves only what
  // the standby has, and the standby may renew leases in its place.
  bool outage = false;
  TableVersion table;
  uint64_t configuration_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(controller, term, standby, standby_address, request_sent_at_ns,
            controller_time_ns, ttl_ns, outage, table, configuration_version);
  }
};

// Tells a host who controls its group.
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

  std::string table;  // EncodeTable of package ownership.

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

  std::string stored;  // EncodeStoredConfiguration of package configuration.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(stored);
  }
};

}  // namespace mimosadeal
