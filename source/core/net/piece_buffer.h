// Bytes that arrive piece by piece. Beyond its first piece the buffer grows
// without a copy, so that a large one never takes more memory than its size and
// one piece.
#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>

namespace mimosadeal {

// A body of this size is read into one buffer that does not grow.
inline constexpr size_t kInitialBodyBytes = size_t{64} * 1024;
// Large enough to go back to the system as soon as it is free, and for few
// pieces in the largest bodies.
inline constexpr size_t kBytesPerPiece = size_t{256} * 1024;

// Returns the capacity, in bytes, of a buffer that has to hold `needed` bytes
// of a body. With a stated length, of which `needed` is a part, the buffer
// grows to that length by doubling, so that the bytes in it and in the smaller
// buffer that is copied into it are never more than the stated length together.
inline size_t BodyCapacity(std::optional<uint64_t> stated, size_t needed) {
  if (!stated.has_value()) return std::bit_ceil(needed);
  size_t capacity = std::max<size_t>(*stated, needed);
  while (capacity > kInitialBodyBytes && capacity - capacity / 2 >= needed)
    capacity -= capacity / 2;
  return capacity;
}

class PieceBuffer {
 public:
  bool empty() const { return pieces_.empty(); }
  size_t size() const { return size_; }
  // The memory that the pieces take.
  size_t capacity() const;
  // `stated`: what the size will be in the end, if that is known.
  void Append(std::string_view bytes, std::optional<uint64_t> stated = {});
  // Removes the first piece, which there must be, and returns it.
  std::string TakeFirst();
  // Removes everything and returns it as one. Frees each piece once it is
  // copied.
  std::string TakeAll();
  void Clear();

 private:
  // Makes room for a part of `more` bytes in the last piece, or in a new one.
  // Returns how many fit.
  size_t MakeRoom(size_t more, std::optional<uint64_t> stated);

  // Invariant: none is empty, and all but the last have kBytesPerPiece bytes.
  std::list<std::string> pieces_;
  size_t size_ = 0;
};

}  // namespace mimosadeal
