// Sends steady traffic of lookups and holds during a test, and records the
// outcome that each caller was told.
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
  // Fraction of the requests that are holds; the others are lookups.
  double holds = 0.5;
  // Fraction of the holds that are sent twice at once with the same id, to
  // hosts chosen at random.
  double duplicated = 0.2;
  // Sends a hold again if it was not run or its outcome is unknown.
  bool resend = true;
  int64_t work_us = 3000;
  // Fraction of the requests that take `long_work_us` instead, so that some
  // requests are in progress when a fault occurs.
  double long_work = 0;
  int64_t long_work_us = 400000;
  // Maximum number of times that a hold is sent again.
  int max_resends = 3;
};

class Traffic {
 public:
  Traffic(TestFixture& fixture, TrafficOptions options, uint64_t seed);
  ~Traffic();

  // Sends traffic for `duration`.
  void RunFor(Duration duration);
  // Stops sending and waits for outstanding responses.
  void StopAndWait();

  // Fails the test if a caller was told a wrong outcome, an id ran more than
  // once, or two upstreams ran requests of one shard at the same time.
  void Check();

  int answered() const { return answered_; }
  int unknown() const { return unknown_; }
  int sent() const { return sent_; }
  // Returns the longest time between two successful lookups of one key, over
  // all keys.
  Duration LongestGap() const;

 private:
  struct Hold {
    std::string id;
    std::string key;
    std::string query;
    int resends = 0;
  };

  void SendOne();
  std::string RandomWork();
  void SendLookup(const std::string& key);
  void SendHold(const Hold& hold, size_t host);
  void OnHoldResponse(const Hold& hold, const ClientResponse& response);
  size_t RandomHost();

  TestFixture& fixture_;
  TrafficOptions options_;
  Random random_;
  TimerId timer_ = kNoTimer;
  int sent_ = 0;
  int answered_ = 0;
  int unknown_ = 0;
  bool sending_ = false;
  // Outcome reported to the caller, by id: "ran" once that was reported,
  // otherwise the last one.
  std::map<std::string, std::string> reported_outcomes_;
  std::vector<std::string> violations_;
  std::map<std::string, MonotonicTime> last_response_;
  std::map<std::string, Duration> longest_gap_;
};

}  // namespace mimosadeal
