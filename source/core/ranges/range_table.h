// Who owns which keys of one service: contiguous ranges, each with one owner
// and the generation number that fences its grants.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/error.h"

namespace mimosadeal {

inline constexpr int kFirstKey = 0;
inline constexpr int kLastKey = 65535;

struct KeyRange {
  int first = kFirstKey;  // Inclusive, as is `last`.
  int last = kLastKey;
  std::string owner;  // Id of an upstream.
  int64_t owner_incarnation = 0;
  // Zone whose lease holder alone may renew this range's grant or take it away:
  // the owner's.
  std::string zone;
  uint64_t generation = 0;
  // What the last owner gave when it released the keys; empty if it gave
  // nothing.
  std::string handover;

  bool operator==(const KeyRange&) const = default;
};

// Invariant: ranges are in order, and cover every key once.
struct RangeTable {
  std::string service;
  uint64_t revision =
      0;  // The store's, of the version that this was read from.
  uint64_t last_generation = 0;  // The highest that was ever given out.
  std::vector<KeyRange> ranges;
};

// Returns the range that holds `key`, or null when the table is empty.
const KeyRange* FindRange(const RangeTable& table, int key);

// Gives the keys of `part` to its owner there, splitting what overlaps.
void AssignPart(RangeTable& table, const KeyRange& part);

// Merges neighbouring ranges in `zone` of one owner's same life into one range
// with a new generation. Ranges that hold a handover stay apart: it belongs to
// their keys.
void MergeNeighbours(RangeTable& table, const std::string& zone);

// A stretch of keys, both ends inclusive.
struct KeySpan {
  int first = 0;
  int last = 0;
};

// Returns what is left of `whole` without `parts`.
std::vector<KeySpan> SubtractSpans(KeySpan whole, std::vector<KeySpan> parts);

// Number of keys that each owner holds, by id.
int KeysOf(const RangeTable& table, const std::string& owner);

// What a later version of a table changes in an earlier one.
struct RangeTableStep {
  uint64_t base = 0;  // Revision of the earlier table.
  uint64_t last_generation = 0;
  std::vector<KeyRange> changed;  // Ranges that the earlier one has not.
};

RangeTableStep StepBetween(const RangeTable& before, const RangeTable& after);
// Returns the table that the step leads to from `before`, with `revision`.
// Errors: kMalformed when its ranges are not in order or out of range.
Result<RangeTable> ApplyStep(const RangeTable& before,
                             const RangeTableStep& step, uint64_t revision);

// Returns the revision that an encoded step starts from; nothing for an encoded
// table.
std::optional<uint64_t> StepBase(const nlohmann::json& content);
nlohmann::json EncodeRangeTableStep(const RangeTableStep& step);
// Errors: kMalformed when a field is missing.
Result<RangeTableStep> DecodeRangeTableStep(const nlohmann::json& content);

nlohmann::json EncodeRangeTable(const RangeTable& table);
// Errors: kMalformed when a field is missing, or the ranges do not cover every
// key once.
Result<RangeTable> DecodeRangeTable(const std::string& service,
                                    uint64_t revision,
                                    const nlohmann::json& content);

}  // namespace mimosadeal
