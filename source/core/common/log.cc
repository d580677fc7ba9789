#include "common/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "common/enum_names.h"
#include "common/json_text.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<LogPart, kLogPartCount> kLogPartNames = {{
    {LogPart::kServer, "server"},
    {LogPart::kIngress, "ingress"},
    {LogPart::kDispatcher, "dispatcher"},
    {LogPart::kController, "controller"},
    {LogPart::kInner, "inner"},
    {LogPart::kPlatform, "platform"},
    {LogPart::kUpstream, "upstream"},
    {LogPart::kConfiguration, "configuration"},
    {LogPart::kStandin, "standin"},
}};

constexpr char kTextPattern[] = "%Y-%m-%dT%H:%M:%S.%e %L %n: %v";
constexpr char kJsonPattern[] =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","part":"%n","message":%*})";

// Writes the message as a JSON string.
class JsonMessageFlag : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm& /*time*/,
              spdlog::memory_buf_t& destination) override {
    const std::string text(message.payload.data(), message.payload.size());
    const std::string quoted = JsonText(text);
    destination.append(quoted.data(), quoted.data() + quoted.size());
  }

  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<JsonMessageFlag>();
  }
};

std::unique_ptr<spdlog::formatter> MakeFormatter(LogFormat format) {
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<JsonMessageFlag>('*');
  formatter->set_pattern(format == LogFormat::kJson ? kJsonPattern
                                                    : kTextPattern);
  return formatter;
}

using Loggers = std::array<std::shared_ptr<spdlog::logger>, kLogPartCount>;

Loggers MakeLoggers() {
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  Loggers loggers;
  for (const EnumName<LogPart>& entry : kLogPartNames) {
    auto logger =
        std::make_shared<spdlog::logger>(std::string(entry.name), sink);
    logger->set_pattern(kTextPattern);
    loggers.at(static_cast<size_t>(entry.value)) = std::move(logger);
  }
  return loggers;
}

Loggers& AllLoggers() {
  static Loggers loggers = MakeLoggers();
  return loggers;
}

}  // namespace

std::string_view LogPartName(LogPart part) {
  return NameOf(kLogPartNames, part);
}

void ConfigureLogging(LogFormat format, spdlog::level::level_enum level) {
  for (auto& logger : AllLoggers()) {
    logger->set_formatter(MakeFormatter(format));
    logger->set_level(level);
    logger->flush_on(spdlog::level::info);
  }
}

bool SetLogLevel(std::string_view part_name, spdlog::level::level_enum level) {
  const auto part = ValueOf(kLogPartNames, part_name);
  if (!part.has_value()) return false;
  Log(*part).set_level(level);
  return true;
}

spdlog::logger& Log(LogPart part) {
  return *AllLoggers().at(static_cast<size_t>(part));
}

}  // namespace mimosadeal
