#include "common/event_log.h"

#include <fcntl.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "common/json_text.h"

namespace mimosadeal {
namespace {

// Writes to standard output without blocking.
class NonBlockingStdoutSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit NonBlockingStdoutSink(std::shared_ptr<uint64_t> drops)
      : drops_(std::move(drops)) {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    // A line is shorter than the kernel's pipe buffer. A partial write would
    // damage only that line.
    if (write(STDOUT_FILENO, line.data(), line.size()) < 0) ++*drops_;
  }
  void flush_() override {}

 private:
  std::shared_ptr<uint64_t> drops_;
};

std::string Quote(std::string_view text) { return JsonText(std::string(text)); }

std::string FormatMember(std::string_view name, const std::string& value) {
  return "\"" + std::string(name) + "\":" + value;
}

}  // namespace

EventField::EventField(std::string_view name, std::string_view value)
    : text_(FormatMember(name, Quote(value))) {}
EventField::EventField(std::string_view name, bool value)
    : text_(FormatMember(name, value ? "true" : "false")) {}
EventField::EventField(std::string_view name, int64_t value)
    : text_(FormatMember(name, std::to_string(value))) {}
EventField::EventField(std::string_view name, uint64_t value)
    : text_(FormatMember(name, std::to_string(value))) {}
EventField::EventField(std::string_view name, double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.4g", value);
  text_ = FormatMember(name, text.data());
}
EventField::EventField(std::string_view name, Duration value)
    : EventField(name, ToMilliseconds(value)) {}

EventLog::EventLog(std::string host, double lines_per_second)
    : host_(std::move(host)),
      lines_per_second_(lines_per_second),
      tokens_(lines_per_second),
      refilled_at_(BootClock::now()),
      sink_drops_(std::make_shared<uint64_t>(0)) {
  logger_ = std::make_unique<spdlog::logger>(
      "events", std::make_shared<NonBlockingStdoutSink>(sink_drops_));
  logger_->set_pattern("%v");
}

EventLog::~EventLog() = default;

bool EventLog::TakeToken() {
  const MonotonicTime now = BootClock::now();
  tokens_ =
      std::min(lines_per_second_,
               tokens_ + lines_per_second_ * ToSeconds(now - refilled_at_));
  refilled_at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void EventLog::LogStateChange(std::string_view event,
                              std::initializer_list<EventField> fields) {
  Write(event, fields);
}

void EventLog::LogRequest(std::string_view event,
                          std::initializer_list<EventField> fields) {
  if (!TakeToken()) {
    ++dropped_;
    return;
  }
  Write(event, fields);
}

void EventLog::Write(std::string_view event,
                     std::initializer_list<EventField> fields) {
  const uint64_t dropped = dropped_ + *sink_drops_;
  std::string line =
      "{\"at_ms\":" +
      std::to_string(ToMilliseconds(BootClock::now().time_since_epoch())) +
      ",\"host\":" + Quote(host_) + ",\"event\":" + Quote(event);
  for (const EventField& field : fields) line += "," + field.text();
  if (dropped > dropped_reported_) {
    line += ",\"lines_dropped\":" + std::to_string(dropped - dropped_reported_);
    dropped_reported_ = dropped;
  }
  line += "}";
  logger_->info("{}", line);
}

}  // namespace mimosadeal
