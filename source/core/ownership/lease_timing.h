// Durations of leases, promises and grants, and the guard for differing clock
// rates.
#pragma once

#include "common/boot_clock.h"
#include "settings/settings.h"

namespace mimosadeal {

struct LeaseTiming {
  Duration lease_ttl{};
  Duration lease_renew{};
  Duration promise_ttl{};
  Duration controller_silence{};
  Duration grant_ttl{};
  Duration grant_renew{};
  Duration upstream_silence{};
  // Largest fraction by which the rates of two hosts' clocks differ.
  double clock_rate_guard = 0;

  // For waiting until another host's time has passed: longer, in case the own
  // clock is the faster one.
  Duration Lengthened(Duration duration) const {
    return Scaled(duration, 1.0 + clock_rate_guard);
  }
  // For relying on a time that another host measures: shorter, in case the own
  // clock is the slower one.
  Duration Shortened(Duration duration) const {
    return Scaled(duration, 1.0 - clock_rate_guard);
  }

 private:
  static Duration Scaled(Duration duration, double factor) {
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(duration.count()) * factor));
  }
};

inline LeaseTiming TimingOf(const Settings& settings) {
  return LeaseTiming{settings.lease_ttl,        settings.lease_renew,
                     settings.promise_ttl,      settings.controller_silence,
                     settings.grant_ttl,        settings.grant_renew,
                     settings.upstream_silence, settings.clock_rate_guard};
}

}  // namespace mimosadeal
