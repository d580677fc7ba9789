// Tests of entry hosts on an object-store deployment: in whatever order an
// owner's keys move and its process ends and starts again, each key is granted
// with a generation above all that other holders had it with.
#include <CppUTest/TestHarness.h>

#include <string>

#include "entry_fixture.h"
#include "ranges/range_table.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A restarted upstream registers this long after it accepts commands.
constexpr Duration kReportDelay = seconds(3);
// Longer than a move takes from the report that its owner leaves, and shorter
// than a host waits for the reply to a grant.
constexpr Duration kGrantDelay = milliseconds(500);

class EntryGenerationsTest : public EntryTest {
 public:
  // Whether a host has logged the event with this value of a field.
  bool Logged(const std::string& event, const std::string& field,
              const std::string& value) {
    const std::string name = "\"event\":\"" + event + "\"";
    const std::string wanted = "\"" + field + "\":\"" + value + "\"";
    for (const auto& [host, process] : fixture.hosts) {
      const std::string log = fixture.HostLog(host);
      for (size_t at = log.find(name); at != std::string::npos;
           at = log.find(name, at + 1)) {
        if (log.substr(at, log.find('\n', at) - at).find(wanted) !=
            std::string::npos)
          return true;
      }
    }
    return false;
  }

  // Returns a key that two upstreams hold now, or -1.
  int KeyWithTwoHolders() {
    for (int key = 0; key <= kLastKey; key += kKeysOfManyRanges / 2) {
      int holders = 0;
      for (const auto& [id, upstream] : fixture.upstreams)
        holders += upstream->Holds(key) ? 1 : 0;
      if (holders > 1) return key;
    }
    return -1;
  }

  // Starts the upstream again under its id and address.
  void Restart(const std::string& id) {
    DeploymentUpstreamOptions options = fixture.upstreams.at(id)->options();
    options.report_delay = kReportDelay;
    fixture.CrashUpstream(id);
    fixture.AddUpstream(options, id.back() - '0');
  }
};

TEST_GROUP_BASE(EntryGenerations, EntryGenerationsTest){};

// Guards against keys that a new incarnation gets with the generation of the
// former one: the owner restarts while a part of its range moves away.
TEST(EntryGenerations,
     AnOwnerThatRestartsWhileAPartOfItsRangeMovesGetsNewGenerations) {
  fixture.StartDefaultDeployment(2);
  fixture.RunFor(seconds(1));
  fixture.AddUpstream("yard-5", "yard", "north", 7);
  CHECK(fixture.RunUntil(
      [this] { return Logged("range.moving", "from", "yard-1"); }, seconds(8)));
  Restart("yard-1");
  CHECK(fixture.RunUntil([this] { return fixture.EveryKeyIsHeld(); },
                         seconds(12)));
  fixture.RunFor(seconds(2));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

// Guards against a refusal of a late grant that takes a range back to its
// former owner although another upstream holds it by then.
TEST(EntryGenerations, ALateRefusalOfAGrantTakesNoKeysFromTheNextOwner) {
  fixture.StartWithManyRanges(2);
  DeploymentUpstream& owner = *fixture.upstreams.at("yard-1");
  owner.faults().grant_delay = kGrantDelay;
  fixture.RunFor(seconds(1));
  // The range of the grant that has just arrived moves before it is refused.
  const int before = owner.grants();
  CHECK(fixture.RunUntil([&] { return owner.grants() > before; }, seconds(3)));
  owner.Report("draining");
  CHECK(fixture.RunUntil(
      [this] { return Logged("grant.rejected", "upstream", "yard-1"); },
      seconds(3)));
  owner.faults().grant_delay = {};
  CHECK_FALSE(fixture.RunUntil([this] { return KeyWithTwoHolders() >= 0; },
                               seconds(4)));
  LONGS_EQUAL(-1, OwnedKey("yard-1"));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

}  // namespace
}  // namespace mimosadeal
