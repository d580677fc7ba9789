// Tests of entry hosts on an object-store deployment: in whatever order an
// owner's keys move and its process ends and starts again, each key is granted
// with a generation above all that other holders had it with.
#include <CppUTest/TestHarness.h>

#include <string>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::seconds;

// A restarted upstream registers this long after it accepts commands.
constexpr Duration kReportDelay = seconds(3);

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
     AnOwnerThatRestartsWhileAPartOfItsRangeMovesGetsNewOnes) {
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

}  // namespace
}  // namespace mimosadeal
