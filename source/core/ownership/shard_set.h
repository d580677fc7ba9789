// A set of shards of one service, as sent in grants.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"

namespace mimosadeal {

class ShardSet {
 public:
  ShardSet() = default;
  explicit ShardSet(uint32_t shard_count) : members_(shard_count, false) {}

  void Add(uint32_t shard);
  bool Contains(uint32_t shard) const {
    return shard < members_.size() && members_[shard];
  }
  size_t Count() const;
  // Returns the number of shards of the service.
  size_t Size() const { return members_.size(); }

  bool operator==(const ShardSet&) const = default;

  // Returns the ranges of shards in ascending order, such as "0-3,7,9-10".
  std::string ToRanges() const;
  // Errors: kMalformed, also if a shard is not below `shard_count`.
  static Result<ShardSet> FromRanges(std::string_view text,
                                     uint32_t shard_count);

 private:
  std::vector<bool> members_;
};

}  // namespace mimosadeal
