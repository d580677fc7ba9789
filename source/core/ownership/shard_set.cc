#include "ownership/shard_set.h"

#include <algorithm>
#include <charconv>

namespace mimosadeal {
namespace {

Error Malformed(std::string_view text) {
  return MakeError(
      ErrorCode::kMalformed,
      "\"" + std::string(text) + "\" is not a list of shard ranges");
}

// Removes a number from the front of `text` and returns it in `number`.
bool TakeNumber(std::string_view& text, uint32_t& number) {
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc()) return false;
  text.remove_prefix(static_cast<size_t>(parsed.ptr - text.data()));
  return true;
}

}  // namespace

void ShardSet::Add(uint32_t shard) {
  if (shard < members_.size()) members_[shard] = true;
}

size_t ShardSet::Count() const {
  return static_cast<size_t>(
      std::count(members_.begin(), members_.end(), true));
}

std::string ShardSet::ToRanges() const {
  std::string text;
  size_t shard = 0;
  while (shard < members_.size()) {
    if (!members_[shard]) {
      ++shard;
      continue;
    }
    size_t last = shard;
    while (last + 1 < members_.size() && members_[last + 1]) ++last;
    if (!text.empty()) text += ',';
    text += std::to_string(shard);
    if (last > shard) text += '-' + std::to_string(last);
    shard = last + 1;
  }
  return text;
}

Result<ShardSet> ShardSet::FromRanges(std::string_view text,
                                      uint32_t shard_count) {
  ShardSet set(shard_count);
  std::string_view rest = text;
  while (!rest.empty()) {
    uint32_t first = 0;
    if (!TakeNumber(rest, first)) return Malformed(text);
    uint32_t last = first;
    if (!rest.empty() && rest.front() == '-') {
      rest.remove_prefix(1);
      if (!TakeNumber(rest, last)) return Malformed(text);
    }
    if (last < first || last >= shard_count) return Malformed(text);
    for (uint32_t shard = first; shard <= last; ++shard) set.Add(shard);
    if (rest.empty()) break;
    if (rest.front() != ',') return Malformed(text);
    rest.remove_prefix(1);
  }
  return set;
}

}  // namespace mimosadeal
