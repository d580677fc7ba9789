#include "fleet/propagation.h"

#include <algorithm>

namespace mimosadeal {
namespace {

// Share of the bound in which a lost watch is noticed. The rest is for reading
// the change, feeding it, and requests on their way.
constexpr double kLossNoticedShare = 0.65;
// The store answers in 4 ms. A shorter slack repeats watches of a host that is
// busy for a moment.
constexpr Duration kResponseSlack = std::chrono::milliseconds(250);
// Watches of longer bounds: the platform allows 3 s for connections to recover.
constexpr Duration kLongestWait = std::chrono::milliseconds(2200);
// More calls than these would exceed what the platform takes from a zone.
constexpr Duration kShortestWait = std::chrono::milliseconds(300);
// Waits of a watch that is a second way, as a multiple of the others.
constexpr int kAnnouncedWaitFactor = 4;
// A connection to the store takes 2 ms and its answer 4 ms. The rest is for a
// host that gets its processor late.
constexpr Duration kRead = std::chrono::milliseconds(100);
// Within a zone, by a connection that is open.
constexpr Duration kTransfer = std::chrono::milliseconds(100);
// Requests that wait for a connection are decided again at the news. What was
// written already passes a link whose queue holds at most this much.
constexpr Duration kSend = std::chrono::milliseconds(300);

Duration RoundUpTo(Duration time, Duration interval) {
  const auto rounds = (time.count() + interval.count() - 1) / interval.count();
  return interval * rounds;
}

}  // namespace

PropagationTiming MakePropagationTiming(Duration bound, Duration batch_delay) {
  const auto noticed = Duration(static_cast<int64_t>(
      static_cast<double>(bound.count()) * kLossNoticedShare));
  PropagationTiming timing;
  timing.watch_wait =
      std::clamp(noticed - kResponseSlack, kShortestWait, kLongestWait);
  timing.response_slack = kResponseSlack;
  timing.read = kRead;
  timing.batch_delay = batch_delay;
  timing.hello_interval = kHelloInterval;
  timing.resend_after = kMinResendInterval;
  timing.feed_timeout = kFeedTimeout;
  timing.transfer = kTransfer;
  timing.send = kSend;
  return timing;
}

PropagationTiming MakeAnnouncedTiming(Duration bound, Duration batch_delay) {
  PropagationTiming timing = MakePropagationTiming(bound, batch_delay);
  timing.watch_wait *= kAnnouncedWaitFactor;
  timing.announced = true;
  return timing;
}

Duration LongestPropagation(const PropagationTiming& timing,
                            PropagationLoss loss) {
  const Duration applied = timing.transfer + timing.send;
  const Duration read = timing.batch_delay + timing.read;
  // Without a notice the watch brings the change. A second transfer leads from
  // the writer to the other zones' holders.
  const bool by_notice = timing.announced && loss != PropagationLoss::kNotice;
  const Duration heard = by_notice ? timing.transfer : read;
  switch (loss) {
    case PropagationLoss::kNothing:
    case PropagationLoss::kNotice:
    case PropagationLoss::kHello:
      // Hellos carry no changes.
      return heard + applied;
    case PropagationLoss::kWatch:
      if (by_notice) return heard + applied;
      // The batch delay before a watch is part of its wait.
      return timing.watch_wait + timing.response_slack + timing.read + applied;
    case PropagationLoss::kUpdate:
      // The first hello after it shows that the follower lacks it, and a later
      // one that it does so for too long.
      return heard + timing.hello_interval +
             RoundUpTo(timing.resend_after, timing.hello_interval) + applied;
    case PropagationLoss::kHolder:
      // The feed's last confirmation was sent just before the holder ended.
      return RoundUpTo(timing.feed_timeout, timing.hello_interval) +
             timing.hello_interval + timing.read + timing.send;
  }
  return kForever - MonotonicTime{};
}

Duration LongestPropagation(const PropagationTiming& timing) {
  Duration longest{};
  for (const auto& [loss, name] : kPropagationLossNames)
    longest = std::max(longest, LongestPropagation(timing, loss));
  return longest;
}

Duration LongestConfirmationAge(const PropagationTiming& timing) {
  // A confirmation states the time of its call. The follower that asked just
  // before it asks again an interval later, and one datagram may be lost.
  return timing.watch_wait + timing.read + 2 * timing.hello_interval +
         timing.transfer;
}

}  // namespace mimosadeal
