// Steady traffic of lookups and holds during a test, with a record of what each
// caller was told.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/ids.h"
#include "test_fixture.h"

namespace mimosadeal {

struct TrafficOptions {
  Duration interval = std::chrono::milliseconds(5);
  int keys = 40;
  // Of all requests, the part that are holds; the rest are lookups.
  double holds = 0.5;
  // Of holds, the part whose caller sends the same id again, at once, to
  // another host.
  double doubled = 0.2;
  // Callers whose hold has an unknown outcome, or was not run, send it again.
  bool resend = true;
  int64_t work_us = 3000;
  // Part of the requests that take `long_work_us` instead, so that some work is
  // always in progress when something breaks.
  double long_work = 0;
  int64_t long_work_us = 400000;
  // How many times a caller that was told "not run" or "unknown" sends its hold
  // again.
  int max_resends = 3;
};

class Traffic {
 public:
  Traffic(TestFixture& fixture, TrafficOptions options, uint64_t seed);
  ~Traffic();

  // Runs traffic for `duration`.
  void RunFor(Duration duration);
  // Stops sending and waits for the answers that are due.
  void StopAndWait();

  // Fails the test when a caller was told what is not so, an id ran twice or
  // two upstreams ran work of one shard at the same time.
  void Check();

  int answered() const { return answered_; }
  int unknown() const { return unknown_; }
  int sent() const { return sent_; }
  // Longest time without an answer by an upstream to any lookup of one key,
  // over all keys.
  Duration LongestGap() const;

 private:
  struct Hold {
    std::string id;
    std::string key;
    std::string query;
    int resends = 0;
  };

  void SendOne();
  std::string AnyWork();
  void SendLookup(const std::string& key);
  void SendHold(const Hold& hold, size_t host);
  void OnHoldAnswer(const Hold& hold, const ClientResponse& response);
  size_t AnyHost();

  TestFixture& fixture_;
  TrafficOptions options_;
  Random random_;
  TimerId timer_ = kNoTimer;
  int sent_ = 0;
  int answered_ = 0;
  int unknown_ = 0;
  bool sending_ = false;
  // What the caller of each id was told last. "ran" stays once it was told.
  std::map<std::string, std::string> told_;
  std::vector<std::string> faults_;
  std::map<std::string, MonotonicTime> last_answer_;
  std::map<std::string, Duration> longest_gap_;
};

}  // namespace mimosadeal
