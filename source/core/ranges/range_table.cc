#include "ranges/range_table.h"

#include <algorithm>

namespace mimosadeal {
namespace {

// The fields of a range in the order of the stored array.
enum RangeField : size_t {
  kFieldFirst,
  kFieldLast,
  kFieldOwner,
  kFieldIncarnation,
  kFieldZone,
  kFieldGeneration,
  kFieldHandover,
  kFieldCount,
};

bool CoversEveryKey(const std::vector<KeyRange>& ranges) {
  int next = kFirstKey;
  for (const KeyRange& range : ranges) {
    if (range.first != next || range.last < range.first) return false;
    next = range.last + 1;
  }
  return next == kLastKey + 1;
}

bool ReadRange(const nlohmann::json& fields, KeyRange& range) {
  if (!fields.is_array() || fields.size() != kFieldCount) return false;
  if (!fields[kFieldFirst].is_number_integer() ||
      !fields[kFieldLast].is_number_integer() ||
      !fields[kFieldOwner].is_string() ||
      !fields[kFieldIncarnation].is_number_integer() ||
      !fields[kFieldZone].is_string() ||
      !fields[kFieldGeneration].is_number_unsigned() ||
      !fields[kFieldHandover].is_string()) {
    return false;
  }
  range.first = fields[kFieldFirst].get<int>();
  range.last = fields[kFieldLast].get<int>();
  range.owner = fields[kFieldOwner].get<std::string>();
  range.owner_incarnation = fields[kFieldIncarnation].get<int64_t>();
  range.zone = fields[kFieldZone].get<std::string>();
  range.generation = fields[kFieldGeneration].get<uint64_t>();
  range.handover = fields[kFieldHandover].get<std::string>();
  return true;
}

nlohmann::json EncodeRanges(const std::vector<KeyRange>& ranges) {
  nlohmann::json encoded = nlohmann::json::array();
  for (const KeyRange& range : ranges) {
    encoded.push_back({range.first, range.last, range.owner,
                       range.owner_incarnation, range.zone, range.generation,
                       range.handover});
  }
  return encoded;
}

}  // namespace

const KeyRange* FindRange(const RangeTable& table, int key) {
  const auto after = std::upper_bound(
      table.ranges.begin(), table.ranges.end(), key,
      [](int value, const KeyRange& range) { return value < range.first; });
  return after == table.ranges.begin() ? nullptr : &*std::prev(after);
}

bool IsInForce(const RangeTable& table, const KeyRange& part) {
  const KeyRange* range = FindRange(table, part.first);
  return range != nullptr && range->generation == part.generation &&
         range->last >= part.last;
}

void AssignPart(RangeTable& table, const KeyRange& part) {
  std::vector<KeyRange> ranges;
  ranges.reserve(table.ranges.size() + 2);
  for (const KeyRange& range : table.ranges) {
    if (range.last < part.first || range.first > part.last) {
      ranges.push_back(range);
      continue;
    }
    if (range.first < part.first) {
      ranges.push_back(range);
      ranges.back().last = part.first - 1;
    }
    if (range.first <= part.first) ranges.push_back(part);
    if (range.last > part.last) {
      ranges.push_back(range);
      ranges.back().first = part.last + 1;
    }
  }
  table.ranges = std::move(ranges);
}

void MergeNeighbours(RangeTable& table, const std::string& zone) {
  std::vector<KeyRange> merged;
  for (const KeyRange& range : table.ranges) {
    KeyRange* before = merged.empty() ? nullptr : &merged.back();
    const bool mergeable =
        before != nullptr && range.zone == zone && before->zone == zone &&
        before->owner == range.owner &&
        before->owner_incarnation == range.owner_incarnation &&
        before->handover.empty() && range.handover.empty();
    if (!mergeable) {
      merged.push_back(range);
      continue;
    }
    before->last = range.last;
    before->generation = ++table.last_generation;
  }
  table.ranges = std::move(merged);
}

std::vector<KeySpan> SubtractSpans(KeySpan whole, std::vector<KeySpan> parts) {
  std::sort(parts.begin(), parts.end(),
            [](const KeySpan& left, const KeySpan& right) {
              return left.first < right.first;
            });
  std::vector<KeySpan> left;
  int next = whole.first;
  for (const KeySpan& part : parts) {
    if (part.last < next || part.first > whole.last) continue;
    if (part.first > next) left.push_back({next, part.first - 1});
    next = part.last + 1;
  }
  if (next <= whole.last) left.push_back({next, whole.last});
  return left;
}

int CountKeys(const RangeTable& table, const std::string& owner) {
  int keys = 0;
  for (const KeyRange& range : table.ranges) {
    if (range.owner == owner) keys += range.last - range.first + 1;
  }
  return keys;
}

RangeTableStep StepBetween(const RangeTable& before, const RangeTable& after) {
  RangeTableStep step;
  step.base = before.revision;
  step.last_generation = after.last_generation;
  auto old = before.ranges.begin();
  for (const KeyRange& range : after.ranges) {
    while (old != before.ranges.end() && old->first < range.first) ++old;
    if (old == before.ranges.end() || !(*old == range))
      step.changed.push_back(range);
  }
  return step;
}

Result<RangeTable> ApplyStep(const RangeTable& before,
                             const RangeTableStep& step, uint64_t revision) {
  RangeTable after;
  after.service = before.service;
  after.revision = revision;
  after.last_generation = step.last_generation;
  after.ranges.reserve(before.ranges.size() + step.changed.size());
  auto old = before.ranges.begin();
  int next = kFirstKey;  // The first key that `after` does not cover yet.
  const auto copy_until = [&](int end) {
    for (; next < end && old != before.ranges.end() && old->first < end;
         ++old) {
      if (old->last < next) continue;
      after.ranges.push_back(*old);
      KeyRange& kept = after.ranges.back();
      kept.first = std::max(kept.first, next);
      kept.last = std::min(kept.last, end - 1);
      next = kept.last + 1;
      if (old->last >= end) break;
    }
  };
  for (const KeyRange& range : step.changed) {
    if (range.first < next || range.last < range.first ||
        range.last > kLastKey) {
      return MakeError(ErrorCode::kMalformed,
                       "the ranges of a table step overlap, are out of order "
                       "or exceed the key space");
    }
    copy_until(range.first);
    after.ranges.push_back(range);
    next = range.last + 1;
  }
  copy_until(kLastKey + 1);
  return after;
}

std::optional<uint64_t> StepBase(const nlohmann::json& content) {
  if (!content.is_object() || !content.contains("changed") ||
      !content.contains("base") || !content["base"].is_number_unsigned()) {
    return std::nullopt;
  }
  return content["base"].get<uint64_t>();
}

nlohmann::json EncodeRangeTableStep(const RangeTableStep& step) {
  return {{"base", step.base},
          {"last_generation", step.last_generation},
          {"changed", EncodeRanges(step.changed)}};
}

Result<RangeTableStep> DecodeRangeTableStep(const nlohmann::json& content) {
  const Error malformed = MakeError(ErrorCode::kMalformed,
                                    "a range table step lacks a field or has "
                                    "one of the wrong type");
  if (!content.is_object() || !content.contains("base") ||
      !content["base"].is_number_unsigned() ||
      !content.contains("last_generation") ||
      !content["last_generation"].is_number_unsigned() ||
      !content.contains("changed") || !content["changed"].is_array()) {
    return malformed;
  }
  RangeTableStep step;
  step.base = content["base"].get<uint64_t>();
  step.last_generation = content["last_generation"].get<uint64_t>();
  for (const nlohmann::json& fields : content["changed"]) {
    KeyRange range;
    if (!ReadRange(fields, range)) return malformed;
    step.changed.push_back(std::move(range));
  }
  return step;
}

nlohmann::json EncodeRangeTable(const RangeTable& table) {
  return {{"last_generation", table.last_generation},
          {"ranges", EncodeRanges(table.ranges)}};
}

Result<RangeTable> DecodeRangeTable(const std::string& service,
                                    uint64_t revision,
                                    const nlohmann::json& content) {
  const Error malformed = MakeError(
      ErrorCode::kMalformed,
      "the range table of " + service +
          " has a wrong or missing field, or does not cover every key once");
  if (!content.is_object() || !content.contains("last_generation") ||
      !content["last_generation"].is_number_unsigned() ||
      !content.contains("ranges") || !content["ranges"].is_array()) {
    return malformed;
  }
  RangeTable table;
  table.service = service;
  table.revision = revision;
  table.last_generation = content["last_generation"].get<uint64_t>();
  for (const nlohmann::json& fields : content["ranges"]) {
    KeyRange range;
    if (!ReadRange(fields, range)) return malformed;
    table.ranges.push_back(std::move(range));
  }
  if (!CoversEveryKey(table.ranges)) return malformed;
  return table;
}

}  // namespace mimosadeal
