#include "configuration_check/json_positions.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

#include "common/json_text.h"

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

// The library's id of the error that a number exceeds a double. Hosts read such
// a number as null.
constexpr int kNumberOutOfRange = 406;

// Counts lines up to the byte that the parser read last.
struct LineCounter {
  const char* last_read = nullptr;
  const char* counted_to = nullptr;
  int line = 1;

  int LineOfLastRead() {
    line += static_cast<int>(std::count(counted_to, last_read, '\n'));
    counted_to = last_read;
    return line;
  }
};

// Passes the text to the parser and tells the counter how far it has read.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* at, LineCounter& counter)
      : at_(at), counter_(&counter) {}

  reference operator*() const {
    counter_->last_read = at_;
    return *at_;
  }
  CountingIterator& operator++() {
    ++at_;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator before = *this;
    ++at_;
    return before;
  }
  bool operator==(const CountingIterator& other) const {
    return at_ == other.at_;
  }

 private:
  const char* at_;
  LineCounter* counter_;
};

// An object or array that the parser is in.
struct OpenValue {
  std::string pointer;
  bool is_array = false;
  size_t next_index = 0;
  std::string member;  // The name read last.
  std::set<std::string> names;
};

// Receives the parser's events. Its function names are the library's.
class PositionHandler final : public nlohmann::json_sax<Json> {
 public:
  PositionHandler(LineCounter& counter, JsonPositions& positions)
      : counter_(counter), positions_(positions) {}

  bool null() override { return OnScalar(); }
  bool boolean(bool) override { return OnScalar(); }
  bool number_integer(number_integer_t) override { return OnScalar(); }
  bool number_unsigned(number_unsigned_t) override { return OnScalar(); }
  bool number_float(number_float_t, const string_t&) override {
    return OnScalar();
  }
  bool string(string_t&) override { return OnScalar(); }
  bool binary(binary_t&) override { return OnScalar(); }
  bool start_object(std::size_t) override { return Open(false); }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t) override { return Open(true); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    if (depth_ > kMaxJsonNesting) return true;
    OpenValue& open = open_.back();
    open.member = name;
    const std::string pointer = open.pointer + "/" + PointerToken(name);
    const int line = counter_.LineOfLastRead();
    if (!open.names.insert(name).second) {
      positions_.findings.push_back(
          {FindingSeverity::kError, pointer,
           "stands twice in its object; hosts read the last one", line});
    }
    positions_.lines[pointer] = line;
    return true;
  }

  bool parse_error(std::size_t, const std::string&,
                   const Json::exception& error) override {
    const bool unreadable_number = error.id == kNumberOutOfRange;
    positions_.is_json = unreadable_number;
    positions_.findings.push_back(
        {FindingSeverity::kError, "",
         unreadable_number
             ? "a number is beyond the range of a double; hosts read it as null"
             : std::string("is not JSON: ") + error.what(),
         counter_.LineOfLastRead()});
    return false;
  }

 private:
  // Notes the line of an array's element, or of the whole document; that of a
  // member was noted with its name. Returns the value's pointer.
  std::string NotePosition() {
    std::string pointer;
    if (!open_.empty()) {
      OpenValue& open = open_.back();
      pointer = open.pointer + "/" +
                (open.is_array ? std::to_string(open.next_index++)
                               : PointerToken(open.member));
    }
    positions_.lines.try_emplace(pointer, counter_.LineOfLastRead());
    return pointer;
  }

  bool OnScalar() {
    if (depth_ <= kMaxJsonNesting) NotePosition();
    return true;
  }

  bool Open(bool is_array) {
    if (++depth_ > kMaxJsonNesting) {
      if (!reported_depth_) {
        positions_.findings.push_back({FindingSeverity::kError, NotePosition(),
                                       "is nested deeper than " +
                                           std::to_string(kMaxJsonNesting) +
                                           "; hosts read it as null",
                                       counter_.LineOfLastRead()});
      }
      reported_depth_ = true;
      return true;
    }
    open_.push_back({NotePosition(), is_array, 0, "", {}});
    return true;
  }

  bool Close() {
    if (depth_-- <= kMaxJsonNesting) open_.pop_back();
    return true;
  }

  LineCounter& counter_;
  JsonPositions& positions_;
  std::vector<OpenValue> open_;  // Down to kMaxJsonNesting.
  int depth_ = 0;
  bool reported_depth_ = false;
};

}  // namespace

JsonPositions FindJsonPositions(const std::string& text) {
  JsonPositions positions;
  const char* begin = text.data();
  LineCounter counter{begin, begin, 1};
  PositionHandler handler(counter, positions);
  Json::sax_parse(CountingIterator(begin, counter),
                  CountingIterator(begin + text.size(), counter), &handler);
  return positions;
}

int LineOf(const JsonPositions& positions, std::string pointer) {
  while (true) {
    const auto found = positions.lines.find(pointer);
    if (found != positions.lines.end()) return found->second;
    if (pointer.empty()) return 0;
    pointer.erase(pointer.rfind('/') == std::string::npos ? 0
                                                          : pointer.rfind('/'));
  }
}

}  // namespace mimosadeal
