// Evacuations of zones in the soak test, and the check that hosts in touch keep
// the bounds on them and on upstreams that leave.

#include <algorithm>

#include "soak.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// As in kEvacuationBoundText.
constexpr Duration kEvacuationBound = seconds(3);
// As in the fixture's settings.
constexpr Duration kDrainBound = seconds(2);
// A host must keep its bounds again this long after a fault.
constexpr Duration kStabilityTime = seconds(3);
constexpr char kKind[] = "evacuations";

}  // namespace

void Soak::EvacuateZone() {
  const std::string zone = evacuation_random_.Below(2) == 0 ? "north" : "south";
  if (evacuated_.contains(zone)) return;
  fixture_.store->Put(kKind, zone, nlohmann::json::object());
  evacuated_[zone] = Now();
  const auto length = seconds(1 + evacuation_random_.Below(9));
  fault_ends_.emplace(Now() + length, [this, zone] {
    CheckBounds();
    fixture_.store->Remove(kKind, zone);
    evacuated_.erase(zone);
  });
}

void Soak::NoteOutOfTouch(const std::string& host, bool ended) {
  Touch& touch = touch_[host];
  touch.faults += ended ? -1 : 1;
  if (ended) touch.ended_at = Now();
}

void Soak::CheckBounds() {
  for (; checked_runs_ < fixture_.record.runs.size(); ++checked_runs_) {
    const UpstreamRun& run = fixture_.record.runs[checked_runs_];
    if (run.began_at != kNever) CheckBounds(run);
  }
}

void Soak::CheckBounds(const UpstreamRun& run) {
  const auto in_touch = [this](const std::string& host) {
    const Touch& touch = touch_[host];
    return touch.faults == 0 && (touch.ended_at == kNever ||
                                 Now() - touch.ended_at >= kStabilityTime);
  };
  const auto upstream = fixture_.upstreams.find(run.upstream);
  if (upstream == fixture_.upstreams.end()) return;
  const auto sent = std::find_if(sent_requests_.begin(), sent_requests_.end(),
                                 [&run](const SentRequest& request) {
                                   return request.id == run.request_id;
                                 });
  if (sent == sent_requests_.end() || !in_touch(sent->host) || !in_touch(""))
    return;
  const auto check = [&](const std::map<std::string, MonotonicTime>& since,
                         const std::string& what, Duration bound) {
    const auto found = since.find(what);
    if (found == since.end() || run.began_at < found->second + bound) return;
    AddViolation(run.request_id + " at " + sent->host + " reached " +
                 run.upstream + " " +
                 std::to_string(ToMilliseconds(run.began_at - found->second)) +
                 " ms after the departure of " + what);
  };
  check(evacuated_, upstream->second->options().zone, kEvacuationBound);
  if (loses_responses_) check(leaving_, run.upstream, kDrainBound);
}

}  // namespace mimosadeal
