#include "net/piece_buffer.h"

#include <utility>

namespace mimosadeal {

size_t PieceBuffer::capacity() const {
  if (pieces_.empty()) return 0;
  return (pieces_.size() - 1) * kBytesPerPiece + pieces_.back().capacity();
}

void PieceBuffer::Append(std::string_view bytes,
                         std::optional<uint64_t> stated) {
  while (!bytes.empty()) {
    const size_t count = MakeRoom(bytes.size(), stated);
    pieces_.back().append(bytes.substr(0, count));
    size_ += count;
    bytes.remove_prefix(count);
  }
}

size_t PieceBuffer::MakeRoom(size_t more, std::optional<uint64_t> stated) {
  if (pieces_.empty() || pieces_.back().size() >= kBytesPerPiece) {
    pieces_.emplace_back();
    // Only the first piece grows: most bodies are smaller than one.
    if (size_ > 0) {
      const uint64_t rest = stated.value_or(UINT64_MAX) - size_;
      pieces_.back().reserve(std::clamp<uint64_t>(rest, 1, kBytesPerPiece));
    }
  }
  std::string& last = pieces_.back();
  const size_t count = std::min(more, kBytesPerPiece - last.size());
  const size_t needed = last.size() + count;
  if (needed > last.capacity()) {
    if (stated) stated = std::min<uint64_t>(*stated, kBytesPerPiece);
    last.reserve(BodyCapacity(stated, needed));
  }
  return count;
}

std::string PieceBuffer::TakeFirst() {
  std::string first = std::move(pieces_.front());
  pieces_.pop_front();
  size_ -= first.size();
  return first;
}

std::string PieceBuffer::TakeAll() {
  std::string all;
  if (pieces_.size() == 1) {
    all = std::move(pieces_.front());
  } else {
    all.reserve(size_);
    for (; !pieces_.empty(); pieces_.pop_front()) all += pieces_.front();
  }
  Clear();
  return all;
}

void PieceBuffer::Clear() {
  pieces_.clear();
  size_ = 0;
}

}  // namespace mimosadeal
