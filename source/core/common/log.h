// Logging by part: each part of the program has a fixed prefix and a level of
// its own.
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

// Sets the output format of every part and the level of parts that have none of
// their own.
void ConfigureLogging(LogFormat format, spdlog::level::level_enum level);

// Sets the level of one part. Returns false when no part is called `part_name`.
bool SetLogLevel(std::string_view part_name, spdlog::level::level_enum level);

// Returns the logger of `part`. Usable before ConfigureLogging is called.
spdlog::logger& Log(LogPart part);

}  // namespace mimosadeal
