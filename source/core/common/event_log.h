// The event log: one JSON line on standard output for each decision or change
// of state, with the inputs that led to it.
//
// Writing never blocks. A line that standard output cannot accept at once is
// dropped and counted. Lines about requests are limited to a rate; those beyond
// it are dropped and counted too. The next written line reports in the field
// lines_dropped how many lines were dropped before it.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "common/boot_clock.h"

namespace spdlog {
class logger;
}

namespace mimosadeal {

// A named value of a log line, encoded as JSON.
class EventField {
 public:
  EventField(std::string_view name, std::string_view value);
  EventField(std::string_view name, const char* value)
      : EventField(name, std::string_view(value)) {}
  EventField(std::string_view name, const std::string& value)
      : EventField(name, std::string_view(value)) {}
  EventField(std::string_view name, bool value);
  EventField(std::string_view name, int value)
      : EventField(name, static_cast<int64_t>(value)) {}
  EventField(std::string_view name, int64_t value);
  EventField(std::string_view name, uint64_t value);
  EventField(std::string_view name, double value);
  EventField(std::string_view name, Duration value);  // As milliseconds.

  const std::string& text() const { return text_; }

 private:
  std::string text_;  // "name":value
};

class EventLog {
 public:
  // `lines_per_second` limits the lines of LogRequest. Lines of LogStateChange
  // are few and are never limited.
  EventLog(std::string host, double lines_per_second);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Writes a line about a change of this process's state or view, without the
  // rate limit.
  void LogStateChange(std::string_view event,
                      std::initializer_list<EventField> fields);
  // Writes a line about a decision on one request, or about malformed input;
  // subject to the rate limit.
  void LogRequest(std::string_view event,
                  std::initializer_list<EventField> fields);

  // Returns how many lines the rate limit dropped.
  uint64_t dropped() const { return dropped_; }

 private:
  void Write(std::string_view event, std::initializer_list<EventField> fields);
  // Returns false when the rate limit is reached.
  bool TakeToken();

  std::string host_;
  double lines_per_second_;
  double tokens_;  // Of the token bucket that limits LogRequest.
  MonotonicTime refilled_at_;
  uint64_t dropped_ = 0;
  // Dropped lines already reported. Invariant: at most dropped_ + *sink_drops_.
  uint64_t dropped_reported_ = 0;
  // Lines that standard output did not accept.
  std::shared_ptr<uint64_t> sink_drops_;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace mimosadeal
