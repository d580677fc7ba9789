#include "settings/setting_table.h"

#include <array>
#include <cstdio>

namespace mimosadeal {
namespace {

constexpr double kMinuteMs = 60'000;
constexpr double kHourMs = 3'600'000;
constexpr double kMebibyte = 1024.0 * 1024.0;

const std::array kSettings = {
    SettingSpec{"host.id", &Settings::host_id, "", 0, 0,
                "Name of this host, unique in the deployment."},
    SettingSpec{"host.zone", &Settings::zone, "", 0, 0,
                "Availability zone of this host."},
    SettingSpec{"host.group", &Settings::group, "", 0, 0,
                "Control group of this host, within its zone."},

    SettingSpec{"listen.callers", &Settings::callers_address, "", 0, 0,
                "Address (ip:port) for callers' HTTP."},
    SettingSpec{
        "listen.operators", &Settings::operators_address, "", 0, 0,
        "Address (ip:port) for the administration API, metrics and health."},
    SettingSpec{"listen.inner", &Settings::inner_address, "", 0, 0,
                "Address (ip:port), TCP and UDP, for other entry hosts."},

    SettingSpec{"listen.readiness", &Settings::readiness_address, "none", 0, 0,
                "Address (ip:port) of readiness probes, with platform.protocol "
                "= object-store."},

    SettingSpec{"platform.protocol", &Settings::platform_protocol, "native", 0,
                0,
                "native, or object-store: the users' platform, with its store, "
                "upstreams and callers."},
    SettingSpec{
        "platform.bounds", &Settings::platform_bounds, "none", 0, 0,
        "Bounds that the platform sets for the router, as comma-separated "
        "name=value; with platform.protocol = object-store."},
    SettingSpec{"platform.address", &Settings::platform_address, "", 0, 0,
                "Address (ip:port) of the platform."},
    SettingSpec{"platform.timeout_ms", &Settings::platform_timeout, "1000", 10,
                kMinuteMs, "Longest wait for a response of the platform."},
    SettingSpec{"platform.poll_ms", &Settings::platform_poll, "1000", 50,
                kMinuteMs,
                "Interval at which the platform's host list is read."},
    SettingSpec{"platform.connections", &Settings::platform_connections, "4", 3,
                32, "Connections to the platform, waiting watches included."},

    SettingSpec{"leases.ttl_ms", &Settings::lease_ttl, "450", 50, kMinuteMs,
                "Time to live of a dispatcher's lease."},
    SettingSpec{"leases.renew_ms", &Settings::lease_renew, "150", 10, kMinuteMs,
                "Time between lease renewals."},
    SettingSpec{
        "leases.promise_ttl_ms", &Settings::promise_ttl, "600", 50, kMinuteMs,
        "Time for which a renewal binds its sender to the controller's term."},
    SettingSpec{"leases.controller_silence_ms", &Settings::controller_silence,
                "350", 50, kMinuteMs,
                "Time without a message from the controller after which "
                "another host tries to become controller, in the next term."},
    SettingSpec{"leases.grant_ttl_ms", &Settings::grant_ttl, "450", 50,
                kMinuteMs, "Time to live of an upstream's grant."},
    SettingSpec{"leases.grant_renew_ms", &Settings::grant_renew, "150", 10,
                kMinuteMs, "Time between grant renewals."},
    SettingSpec{"leases.upstream_silence_ms", &Settings::upstream_silence,
                "350", 50, kMinuteMs,
                "Time without a response from an upstream after which its "
                "shards move."},
    SettingSpec{
        "leases.clock_rate_guard", &Settings::clock_rate_guard, "0.02", 0, 0.5,
        "Largest relative difference assumed between two hosts' clock rates."},

    SettingSpec{"limits.max_body_bytes", &Settings::max_body_bytes, "262144",
                1024, 64 * kMebibyte,
                "Largest request body accepted from a caller."},
    SettingSpec{"limits.max_response_bytes", &Settings::max_response_bytes,
                "1048576", 1024, 64 * kMebibyte,
                "Largest response body accepted from an upstream."},
    SettingSpec{"limits.max_descriptors", &Settings::max_descriptors, "4096",
                64, 1048576, "Largest number of open sockets of all kinds."},
    SettingSpec{"limits.cpu_share", &Settings::cpu_share, "1", 0.001, 1024,
                "CPU cores of this host; hosts with more are preferred as "
                "lease holders of their zones."},
    SettingSpec{"limits.link_mbps", &Settings::link_mbps, "1000", 0.1, 1000000,
                "Bandwidth of this host's network link, in Mbit/s."},
    SettingSpec{"limits.memory_mb", &Settings::memory_mb, "0", 0, 1048576,
                "Memory that this process may use, in MB; 0 if unknown."},
    SettingSpec{"limits.max_header_blocks", &Settings::max_header_blocks,
                "2048", 16, 1048576,
                "Largest number of HTTP header blocks held at once."},
    SettingSpec{
        "limits.max_waiting_requests", &Settings::max_waiting_requests, "20000",
        16, 1048576,
        "Largest number of callers' requests that this host holds at once."},
    SettingSpec{"limits.max_queue_per_upstream",
                &Settings::max_queue_per_upstream, "2000", 1, 1048576,
                "Largest number of requests queued for one upstream."},
    SettingSpec{
        "limits.max_peer_backlog_bytes", &Settings::max_peer_backlog_bytes,
        "67108864", 65536, 1024 * kMebibyte,
        "Largest number of bytes queued for sending to one other entry host."},

    SettingSpec{"requests.default_deadline_ms", &Settings::default_deadline,
                "5000", 1, kHourMs, "Deadline of requests that specify none."},
    SettingSpec{"requests.longest_deadline_ms", &Settings::longest_deadline,
                "60000", 1, kHourMs,
                "Longest deadline that a caller may specify."},
    SettingSpec{"requests.owner_wait_ms", &Settings::owner_wait, "1500", 0,
                kMinuteMs,
                "Longest wait for a key that has no available owner."},
    SettingSpec{"requests.ledger_retention_ms", &Settings::ledger_retention,
                "600000", 1000, 24 * kHourMs,
                "Time for which the outcome of a non-idempotent request is "
                "remembered."},
    SettingSpec{
        "requests.ledger_entries", &Settings::ledger_entries, "200000", 16,
        100e6, "Largest number of non-idempotent requests remembered at once."},
    SettingSpec{"requests.ledger_response_bytes",
                &Settings::ledger_response_bytes, "4096", 0, kMebibyte,
                "Largest response body kept for the repetition of a request."},
    SettingSpec{"requests.retry_budget", &Settings::retry_budget, "0.1", 0, 1,
                "Limit of retries of idempotent requests, as a fraction of "
                "first attempts."},
    SettingSpec{"requests.hedge_share", &Settings::hedge_share, "0", 0, 0.2,
                "Share of a service's requests that may be sent a second time "
                "because their response is late; 0 sends none. With "
                "platform.protocol = object-store."},
    SettingSpec{"requests.owner_room", &Settings::owner_room, "false", 0, 0,
                "Whether the lease holder of a zone decides how many requests "
                "its contended owners of keys get from all hosts together. "
                "With platform.protocol = object-store; the same at all "
                "hosts."},
    SettingSpec{"requests.await_moves", &Settings::await_moves, "false", 0, 0,
                "Whether lease holders announce moves of keys, and requests "
                "wait for the new owner instead of trying the old one. With "
                "platform.protocol = object-store; the same at all hosts."},
    SettingSpec{"requests.metric_tenants", &Settings::metric_tenants, "50", 0,
                10000,
                "Number of tenants with separate metrics; further tenants "
                "share one set."},
    SettingSpec{"requests.drain_timeout_ms", &Settings::drain_timeout, "30000",
                100, kHourMs,
                "Longest wait for requests in flight at a planned stop."},

    SettingSpec{"requests.scheduling", &Settings::scheduling, "shares", 0, 0,
                "How dispatchers order requests: shares, or, as baselines for "
                "measurements, strict or first-come."},

    SettingSpec{"log.lines_per_second", &Settings::log_lines_per_second, "50",
                1, 100000,
                "Largest number of lines about requests that the event log "
                "writes per second."},
    SettingSpec{"log.level", &Settings::log_level, "info", 0, 0,
                "trace, debug, info, warning, error or off."},
    SettingSpec{"log.format", &Settings::log_format, "text", 0, 0,
                "text or json."},
};

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.10g", value);
  return text.data();
}

}  // namespace

std::span<const SettingSpec> AllSettings() { return kSettings; }

const SettingSpec* FindSetting(std::string_view name) {
  for (const SettingSpec& spec : kSettings) {
    if (spec.name == name) return &spec;
  }
  return nullptr;
}

std::string DescribeAllowed(const SettingSpec& spec) {
  if (std::holds_alternative<std::string Settings::*>(spec.target))
    return "a text";
  if (std::holds_alternative<bool Settings::*>(spec.target))
    return "true or false";
  const std::string range = " from " + FormatNumber(spec.minimum) + " to " +
                            FormatNumber(spec.maximum);
  if (std::holds_alternative<double Settings::*>(spec.target))
    return "a number" + range;
  return "a whole number" + range;
}

}  // namespace mimosadeal
