#include "ownership/group_member.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(GroupMember) {
  LeaseTiming timing;
  GroupMember member;

  void setup() override {
    timing.lease_ttl = milliseconds(450);
    member = StartMember("a", "127.0.0.1:1", timing, MonotonicTime{});
    member.term = 1;
    member.controller = "c";
  }

  // The reply to a request that was sent at `sent`, handled at `now`.
  void Extend(milliseconds sent, milliseconds now) {
    LeaseReply reply;
    reply.controller = "c";
    reply.term = 1;
    reply.request_sent_at_ns = Duration(sent).count();
    reply.ttl_ns = Duration(timing.lease_ttl).count();
    OnLeaseReply(member, reply, MonotonicTime{now});
  }
};

TEST(GroupMember, CountsTheLeasesThatEndedBeforeTheyWereExtended) {
  Extend(milliseconds(1000), milliseconds(1010));
  const uint64_t lapses = member.lapses;
  Extend(milliseconds(1100), milliseconds(1449));
  LONGS_EQUAL(lapses, member.lapses);
  Extend(milliseconds(1500), milliseconds(1550));
  LONGS_EQUAL(lapses + 1, member.lapses);
  // A late reply extends nothing.
  Extend(milliseconds(1200), milliseconds(1960));
  LONGS_EQUAL(lapses + 1, member.lapses);
}

}  // namespace
}  // namespace mimosadeal
