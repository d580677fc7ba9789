// Logging with one logger for each part of the program, each with its own name
// and level.
#pragma once

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosadeal {

enum class LogPart : uint8_t {
  kServer,
  kIngress,
  kDispatcher,
  kController,
  kInner,
  kPlatform,
  kUpstream,
  kConfiguration,
  kStandin,
};

inline constexpr size_t kLogPartCount = 9;

enum class LogFormat : uint8_t { kText, kJson };

std::string_view LogPartName(LogPart part);

// Sets the output format and the level of all parts. Levels of single parts are
// set after it, with SetLogLevel.
void ConfigureLogging(LogFormat format, spdlog::level::level_enum level);

// Sets the level of one part. Returns false when no part has that name.
bool SetLogLevel(std::string_view part_name, spdlog::level::level_enum level);

// Returns the logger of `part`. May be called before ConfigureLogging.
spdlog::logger& Log(LogPart part);

}  // namespace mimosadeal
