// Tests that no host holds a lease of an earlier term while a controller may
// move shards and upstreams; two hosts could then dispatch to one upstream.
// Runs seeded simulations of lost, delayed and reordered messages, clocks with
// different rates, and hosts that freeze.

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/ids.h"
#include "ownership/controller_leases.h"
#include "ownership/group_member.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

constexpr int kHosts = 5;
constexpr int kSequences = 60;
constexpr Duration kStep = milliseconds(5);
constexpr int kSteps = 2400;
constexpr double kGuard = 0.02;

LeaseTiming Timing() {
  LeaseTiming timing;
  timing.lease_ttl = milliseconds(450);
  timing.lease_renew = milliseconds(100);
  timing.promise_ttl = milliseconds(600);
  timing.controller_silence = milliseconds(350);
  timing.clock_rate_guard = kGuard;
  return timing;
}

struct Host {
  std::string process;
  double clock_rate = 1;
  Duration clock_offset{};
  GroupMember member;
  ControllerState controller;
  bool is_controller = false;
  MonotonicTime next_request{};
  MonotonicTime frozen_until{};
};

// One simulation: the hosts, the messages between them, and the control record
// in the store.
class Sequence {
 public:
  explicit Sequence(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kHosts; ++i) {
      Host host;
      host.process = "h" + std::to_string(i) + ".x";
      host.clock_rate = 1 + (random_.Unit() - 0.5) * kGuard;
      host.clock_offset = milliseconds(random_.Below(100000));
      record_.members.push_back(HostIdOf(host.process));
      hosts_.push_back(std::move(host));
    }
    for (Host& host : hosts_)
      host.member =
          StartMember(host.process, host.process, Timing(), LocalTime(host));
  }

  // Returns a description of the first violation, or an empty string.
  std::string Run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += kStep;
      DeliverDue();
      for (Host& host : hosts_) Tick(host);
      const std::string violation = Check();
      if (!violation.empty())
        return violation + " at step " + std::to_string(step);
    }
    return {};
  }

  int moves_allowed() const { return moves_allowed_; }
  uint64_t terms() const { return record_.term; }

 private:
  struct Message {
    MonotonicTime due;
    std::function<void()> deliver;
  };

  MonotonicTime LocalTime(const Host& host) const {
    const double elapsed = ToSeconds(now_.time_since_epoch()) * host.clock_rate;
    return MonotonicTime(std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(elapsed)) +
                         host.clock_offset);
  }

  Host& HostByProcess(const std::string& process) {
    for (Host& host : hosts_) {
      if (host.process == process) return host;
    }
    return hosts_.front();
  }

  bool Frozen(const Host& host) const { return now_ < host.frozen_until; }

  void Post(const std::string& to, std::function<void(Host&)> handler) {
    if (random_.Unit() < 0.1) return;
    // Most messages take a few milliseconds, some take very long.
    const uint64_t delay_ms =
        random_.Unit() < 0.1 ? random_.Below(1500) : random_.Below(20);
    messages_.push_back({now_ + milliseconds(delay_ms), [this, to, handler] {
                           Host& host = HostByProcess(to);
                           // A frozen host receives its messages when it
                           // resumes.
                           if (Frozen(host)) {
                             messages_.push_back(
                                 {host.frozen_until, [this, to, handler] {
                                    handler(HostByProcess(to));
                                  }});
                             return;
                           }
                           handler(host);
                         }});
  }

  void DeliverDue() {
    std::vector<Message> due;
    std::vector<Message> later;
    for (Message& message : messages_)
      (message.due <= now_ ? due : later).push_back(std::move(message));
    messages_ = std::move(later);
    for (const Message& message : due) message.deliver();
  }

  void Tick(Host& host) {
    if (Frozen(host)) return;
    if (random_.Unit() < 0.0005) {
      host.frozen_until = now_ + milliseconds(random_.Below(3000));
      return;
    }
    const MonotonicTime local = LocalTime(host);
    if (local >= host.next_request && host.member.term != 0) {
      host.next_request = local + Timing().lease_renew;
      SendRequest(host);
    }
    const size_t position = random_.Below(4);
    if (host.member.term == 0 || ShouldSeekTerm(host.member, position, local))
      ClaimTerm(host);
  }

  void SendRequest(Host& host) {
    const LeaseRequest request =
        MakeLeaseRequest(host.member, host.member.controller, LocalTime(host));
    Post(host.member.controller, [this, request](Host& controller) {
      HandleRequest(controller, request);
    });
  }

  void HandleRequest(Host& controller, const LeaseRequest& request) {
    if (!controller.is_controller || controller.controller.term != request.term)
      return;
    const LeaseReply reply = HandleLeaseRequest(controller.controller, request,
                                                LocalTime(controller));
    Post(request.host, [this, reply](Host& host) {
      const LeaseReplyEffect effect =
          OnLeaseReply(host.member, reply, LocalTime(host));
      if (effect.ask_again) SendRequest(host);
    });
  }

  // Reads and conditionally writes the control record in one step, as a
  // consistent store allows.
  void ClaimTerm(Host& host) {
    if (random_.Unit() < 0.5) return;
    if (record_.term > host.member.term) {
      AdoptControlRecord(host.member, record_, LocalTime(host));
      host.is_controller = false;
      return;
    }
    record_.term += 1;
    record_.controller = host.process;
    record_.controller_address = host.process;
    AdoptControlRecord(host.member, record_, LocalTime(host));
    host.is_controller = true;
    host.controller = ControllerState{};
    host.controller.self = host.process;
    host.controller.timing = Timing();
    host.controller.term = record_.term;
    host.controller.members = record_.members;
    // delay_grants stays false: leases are granted at once, which is the harder
    // case.
    for (Host& other : hosts_) {
      const ControlRecord record = record_;
      Post(other.process, [this, record](Host& receiver) {
        if (AdoptControlRecord(receiver.member, record, LocalTime(receiver)))
          receiver.is_controller = false;
      });
    }
  }

  std::string Check() {
    for (const Host& controller : hosts_) {
      if (!controller.is_controller || Frozen(controller) ||
          !MayMove(controller.controller, LocalTime(controller)))
        continue;
      ++moves_allowed_;
      for (const Host& host : hosts_) {
        const bool earlier = host.member.term < controller.controller.term;
        if (earlier && LeaseIsValid(host.member, LocalTime(host))) {
          return host.process + " holds a lease of term " +
                 std::to_string(host.member.term) + " while " +
                 controller.process + " may move things in term " +
                 std::to_string(controller.controller.term);
        }
        // A host with a lease of this term must not count as lost.
        const bool same = host.member.term == controller.controller.term;
        if (same && LeaseIsValid(host.member, LocalTime(host)) &&
            HasLeaseOfPresentTerm(host, controller) &&
            IsLost(controller.controller, host.process,
                   LocalTime(controller))) {
          return host.process +
                 " holds a lease of its controller, which counts it as lost";
        }
      }
    }
    return {};
  }

  // Returns whether the host's lease was extended in the present term. Before,
  // it is the lease of the previous term.
  static bool HasLeaseOfPresentTerm(const Host& host, const Host& controller) {
    const auto found = controller.controller.hosts.find(host.process);
    return found != controller.controller.hosts.end() &&
           host.member.last_extension > host.member.term_since;
  }

  Random random_;
  MonotonicTime now_{};
  ControlRecord record_;
  std::vector<Host> hosts_;
  std::vector<Message> messages_;
  int moves_allowed_ = 0;
};

TEST_GROUP(LeaseSequence){};

TEST(LeaseSequence, NoLeaseOfAnEarlierTermIsValidWhenAControllerMayMove) {
  int moves_allowed = 0;
  uint64_t terms = 0;
  for (uint64_t seed = 1; seed <= kSequences; ++seed) {
    Sequence sequence(seed);
    const std::string violation = sequence.Run();
    if (!violation.empty())
      FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
    moves_allowed += sequence.moves_allowed();
    terms += sequence.terms();
  }
  // The simulations must change controllers and allow moves often.
  CHECK_TRUE(moves_allowed > kSequences * 100);
  CHECK_TRUE(terms > kSequences * 2);
}

// Guards against a group that never gets a new controller. An acting controller
// extends its own lease too; if that counted as a reply of the controller, no
// host would claim the next term.
TEST(LeaseSequence, RepliesOfTheStandbyDoNotCountAsTheControllers) {
  MonotonicTime now = MonotonicTime(std::chrono::seconds(100));
  GroupMember member = StartMember("h1.x", "h1", Timing(), now);
  ControlRecord record;
  record.term = 1;
  record.controller = "h0.x";
  record.standby = "h1.x";
  CHECK_TRUE(AdoptControlRecord(member, record, now));
  LeaseReply reply;
  reply.term = 1;
  reply.ttl_ns = Timing().lease_ttl.count();
  reply.controller = "h0.x";
  reply.standby = "h1.x";
  reply.request_sent_at_ns = now.time_since_epoch().count();
  CHECK_TRUE(OnLeaseReply(member, reply, now).accepted);
  CHECK_FALSE(ControllerIsSilent(member, now));

  reply.controller = "h1.x";
  for (int renewal = 0; renewal < 10; ++renewal) {
    now += Timing().lease_renew;
    reply.request_sent_at_ns = now.time_since_epoch().count();
    CHECK_TRUE(OnLeaseReply(member, reply, now).accepted);
  }

  CHECK_FALSE(ShouldSeekTerm(member, 0, now));
  CHECK_TRUE(ControllerIsSilent(member, now));
}

}  // namespace
}  // namespace mimosadeal
