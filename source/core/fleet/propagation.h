// How long a change in the platform's store takes at most until every host acts
// on it, and the timing that keeps this below the change's bound.
//
// A change passes these steps: the store acknowledges it; the watch of the
// zone's lease holder brings it, or is found to be lost and is repeated; the
// holder feeds it to the other hosts, or a lost update is found and sent again;
// they apply it and decide the next requests by it; a request that was decided
// before reaches its upstream. Each step's longest time is a member of
// PropagationTiming, and LongestPropagation adds them up.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common/boot_clock.h"
#include "common/enum_names.h"

namespace mimosadeal {

// What is lost on the way of one change. At most one thing is: a host that
// loses more is out of touch with the store or with its zone's holder.
enum class PropagationLoss : uint8_t {
  kNothing,
  kWatch,   // The response to the holder's watch.
  kUpdate,  // The holder's update to a follower.
  kHello,   // A follower's hello or the holder's status.
  kNotice,  // The notice by which the writer of a change announces it.
  kHolder,  // The holder itself.
};

inline constexpr size_t kPropagationLosses = 6;

inline constexpr EnumNames<PropagationLoss, kPropagationLosses>
    kPropagationLossNames = {{
        {PropagationLoss::kNothing, "nothing"},
        {PropagationLoss::kWatch, "watch"},
        {PropagationLoss::kUpdate, "update"},
        {PropagationLoss::kHello, "hello"},
        {PropagationLoss::kNotice, "notice"},
        {PropagationLoss::kHolder, "holder"},
    }};

// What is measured of the way of a change from the store to the requests.
enum class PropagationPart : uint8_t {
  kWatchLost,  // From the call of a watch until it counted as lost.
  kRepeated,   // From the repetition of a lost watch to its response.
  kHeard,      // The largest possible age of a change when a host applied it.
  kSent,       // The age of the registry's copy when a request was sent.
};

inline constexpr size_t kPropagationParts = 4;

inline constexpr EnumNames<PropagationPart, kPropagationParts>
    kPropagationPartNames = {{
        {PropagationPart::kWatchLost, "watch-lost"},
        {PropagationPart::kRepeated, "repeated"},
        {PropagationPart::kHeard, "heard"},
        {PropagationPart::kSent, "sent"},
    }};

struct PropagationTiming {
  // For which the store holds a watch without changes.
  Duration watch_wait{};
  // Past its wait, a watch without a response counts as lost.
  Duration response_slack{};
  // From a call to its response, including a new connection.
  Duration read{};
  // Delay between a change and the next watch.
  Duration batch_delay{};
  // Interval of a follower's hellos, and of looking at the age of its feed.
  Duration hello_interval{};
  // A follower that lacks an update for longer gets it again.
  Duration resend_after{};
  // A follower without a confirmed feed for that long reads the store itself.
  Duration feed_timeout{};
  // From the holder to a follower, which applies the update.
  Duration transfer{};
  // From the news of a change until no request decided before it is on its way.
  Duration send{};
  // The writer of a change tells the other holders of it, and they their
  // followers, so the watch is a second way.
  bool announced = false;
};

// Intervals between a follower and its zone's holder. Three hellos fit into the
// feed's timeout, so that one lost datagram does not end a feed.
inline constexpr Duration kHelloInterval = std::chrono::milliseconds(300);
inline constexpr Duration kFeedTimeout = std::chrono::milliseconds(900);
// An update that was sent within this time may still be in flight.
inline constexpr Duration kMinResendInterval = std::chrono::milliseconds(500);

// Delay between a change that its writer announces and the next watch. It ends
// when a notice shows that a change is missing. Two zones' holders that move
// keys write a table several times a second.
inline constexpr Duration kAnnouncedBatchDelay =
    std::chrono::milliseconds(1200);

// Returns the timing for changes that must be in force within `bound`.
PropagationTiming MakePropagationTiming(Duration bound, Duration batch_delay);

// The same for changes that their writers announce. Their watch only brings
// notices that were lost.
PropagationTiming MakeAnnouncedTiming(Duration bound, Duration batch_delay);

// Returns the longest time from the acknowledgement of a change until no host
// acts against it.
Duration LongestPropagation(const PropagationTiming& timing,
                            PropagationLoss loss);

// Returns the longest time of any loss.
Duration LongestPropagation(const PropagationTiming& timing);

// Returns the longest time for which a copy that all is well with goes without
// a confirmation that it is the newest.
Duration LongestConfirmationAge(const PropagationTiming& timing);

}  // namespace mimosadeal
