#include "entry/contended_owners.h"

#include "common/event_log.h"
#include "fleet/upstream_directory.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// A later end is reported to other hosts if it is this much later, so that the
// signs that many hosts see make few messages.
constexpr Duration kMinExtension = kContendedTime / 2;
// How long a host does not ask a giver that did not answer. A zone has a new
// lease holder within 3.5 s of the loss of one.
constexpr Duration kSilentTime = std::chrono::seconds(2);
// Old marks are removed beyond this number.
constexpr size_t kMaxMarks = 512;

}  // namespace

bool ContendedOwners::Note(const std::string& upstream, int64_t incarnation,
                           Duration left, std::string_view reason) {
  const MonotonicTime now = loop_.timers().now();
  if (marks_.size() > kMaxMarks) {
    std::erase_if(marks_,
                  [now](const auto& mark) { return mark.second.until <= now; });
  }
  Mark& mark = marks_[upstream];
  if (mark.incarnation != incarnation) mark = {incarnation, kNever};
  const MonotonicTime until = now + left;
  const bool began = mark.until <= now;
  if (!began && until - mark.until < kMinExtension) return false;
  mark.until = until;
  if (began) {
    log_.LogRequest("owner.contended", {{"upstream", upstream},
                                        {"incarnation", incarnation},
                                        {"left_ms", left},
                                        {"reason", reason}});
  }
  return true;
}

Duration ContendedOwners::Left(const std::string& upstream,
                               int64_t incarnation) const {
  const auto mark = marks_.find(upstream);
  const MonotonicTime now = loop_.timers().now();
  const bool known = mark != marks_.end() &&
                     mark->second.incarnation == incarnation &&
                     mark->second.until > now;
  return known ? mark->second.until - now : Duration::zero();
}

bool ContendedOwners::NeedsPlace(const ListedUpstream& upstream) const {
  const UpstreamRecord& record = upstream.record;
  if (Left(record.id, record.incarnation) <= Duration::zero()) return false;
  const auto silent = silent_until_.find(record.zone);
  return silent == silent_until_.end() ||
         silent->second <= loop_.timers().now();
}

void ContendedOwners::NoteSilentGiver(const std::string& zone) {
  silent_until_[zone] = loop_.timers().now() + kSilentTime;
  log_.LogRequest("owner.giver-silent",
                  {{"zone", zone}, {"for_ms", kSilentTime}});
}

}  // namespace mimosadeal
