// The structured log of decisions: one JSON line on standard output for each,
// with the inputs that decided it.
//
// Writing never blocks: a line that standard output does not take is dropped
// and counted. The number of lines a second is bounded; lines beyond it are
// counted too, and the next line that is written says how many were lost.
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

// One named input or outcome. Built from the types that lines need.
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

  uint64_t dropped() const { return dropped_; }

 private:
  void Write(std::string_view event, std::initializer_list<EventField> fields);
  bool TakeToken();

  std::string host_;
  double lines_per_second_;
  double tokens_;
  MonotonicTime refilled_at_;
  uint64_t dropped_ = 0;
  uint64_t dropped_told_ = 0;  // Invariant: not above dropped_.
  std::shared_ptr<uint64_t> sink_drops_;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace mimosadeal
