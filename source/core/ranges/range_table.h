// The range table of one service: contiguous ranges of keys, each with one
// owner and a generation. The generation fences grants: every grant carries the
// one of its range, and an upstream refuses a grant of a key whose generation
// is lower than one that it has seen for the key.
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
  // The owner's zone. Only the lease holder of this zone may renew the range's
  // grant or take the keys away.
  std::string zone;
  uint64_t generation = 0;
  // Data that the previous owner returned when it released the keys, passed to
  // the next owner; empty if there was none.
  std::string handover;

  bool operator==(const KeyRange&) const = default;
};

// Invariant: the ranges are in ascending order and cover every key exactly
// once.
struct RangeTable {
  std::string service;
  // The store's revision of the object that the table was read from.
  uint64_t revision = 0;
  // The highest generation that was ever assigned.
  uint64_t last_generation = 0;
  std::vector<KeyRange> ranges;
};

// Returns the range that holds `key`, or null when the table is empty.
const KeyRange* FindRange(const RangeTable& table, int key);

// Whether the table gives the keys of `part`, a range of this or of an earlier
// table or a part of one, the generation of `part` and so its owner.
bool IsInForce(const RangeTable& table, const KeyRange& part);

// Replaces the keys of `part` by that range, splitting the ranges that it
// overlaps.
void AssignPart(RangeTable& table, const KeyRange& part);

// Merges neighbouring ranges in `zone` that belong to the same incarnation of
// the same owner into one range with a new generation. Ranges with handover
// data are not merged, because the data belongs to their keys only.
void MergeNeighbours(RangeTable& table, const std::string& zone);

// A span of keys, both ends inclusive.
struct KeySpan {
  int first = 0;
  int last = 0;
};

// Returns the spans of `whole` that are not in any of `parts`.
std::vector<KeySpan> SubtractSpans(KeySpan whole, std::vector<KeySpan> parts);

// Returns the number of keys that the upstream with the id `owner` owns.
int CountKeys(const RangeTable& table, const std::string& owner);

// A table step: the difference between an earlier and a later version of a
// range table.
struct RangeTableStep {
  uint64_t base = 0;  // Revision of the earlier table.
  uint64_t last_generation = 0;
  // Ranges of the later table that are not in the earlier one.
  std::vector<KeyRange> changed;
};

// Returns the step that leads from `before` to `after`.
RangeTableStep StepBetween(const RangeTable& before, const RangeTable& after);
// Applies the step to `before` and returns the later table, with `revision`.
// Errors: kMalformed if the step's ranges are not in ascending order or exceed
// the key space.
Result<RangeTable> ApplyStep(const RangeTable& before,
                             const RangeTableStep& step, uint64_t revision);

// Returns the revision that an encoded step applies to, or nothing if `content`
// is an encoded table.
std::optional<uint64_t> StepBase(const nlohmann::json& content);
nlohmann::json EncodeRangeTableStep(const RangeTableStep& step);
// Errors: kMalformed if a field is missing or has the wrong type.
Result<RangeTableStep> DecodeRangeTableStep(const nlohmann::json& content);

nlohmann::json EncodeRangeTable(const RangeTable& table);
// Errors: kMalformed if a field is missing or has the wrong type, or the ranges
// do not cover every key exactly once.
Result<RangeTable> DecodeRangeTable(const std::string& service,
                                    uint64_t revision,
                                    const nlohmann::json& content);

}  // namespace mimosadeal
