// The part of ZoneCoordinator that spreads which key ranges are being moved:
// the lease holder that moves them tells its followers and the other holders,
// which tell theirs. By datagrams only: hosts of former builds close a
// connection on which they read a message of an unknown type.

#include <algorithm>

#include "common/event_log.h"
#include "entry/lease_manager.h"
#include "entry/zone_coordinator.h"
#include "entry/zone_coordinator_state.h"
#include "inner/move_messages.h"

namespace mimosadeal {
namespace {

// About 40 bytes each, so that a notice fits into one unfragmented datagram.
constexpr size_t kMaxRangesPerNotice = 24;

}  // namespace

void ZoneCoordinator::AnnounceMoves(const std::string& service,
                                    const std::vector<MovingKeys>& keys,
                                    Duration lifetime) {
  log_.LogStateChange(
      lifetime == Duration::zero() ? "moves.withdrawn" : "moves.announced",
      {{"service", service},
       {"ranges", uint64_t{keys.size()}},
       {"first", keys.front().first},
       {"lifetime_ms", lifetime}});
  for (size_t begin = 0; begin < keys.size(); begin += kMaxRangesPerNotice) {
    const size_t end = std::min(keys.size(), begin + kMaxRangesPerNotice);
    MoveNotice notice;
    notice.service = service;
    notice.lifetime_ms = static_cast<uint32_t>(ToMilliseconds(lifetime));
    notice.scope = static_cast<uint8_t>(ReportScope::kOtherZones);
    for (size_t i = begin; i < end; ++i) {
      notice.ranges.push_back(
          {keys[i].first, keys[i].last, keys[i].owner, keys[i].generation});
    }
    handlers_.on_move_notice(notice);
    Forward(notice);
  }
}

void ZoneCoordinator::OnMoveNotice(const MoveNotice& notice) {
  if (!options_.await_moves) return;
  handlers_.on_move_notice(notice);
  if (home().lease->active()) Forward(notice);
}

void ZoneCoordinator::Forward(MoveNotice notice) {
  const auto scope = static_cast<ReportScope>(notice.scope);
  if (scope == ReportScope::kHost) return;
  notice.scope = static_cast<uint8_t>(ReportScope::kHost);
  for (const auto& [address, follower] : followers_)
    transport_->SendDatagram(address, notice);
  if (scope != ReportScope::kOtherZones) return;
  notice.scope = static_cast<uint8_t>(ReportScope::kZone);
  for (const std::string& address : OtherHolders())
    transport_->SendDatagram(address, notice);
}

}  // namespace mimosadeal
