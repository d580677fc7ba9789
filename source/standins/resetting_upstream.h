// Stand-in for an upstream that responds to a request at once, while its body
// is still arriving, and then resets the connection.
//
// It runs on a thread of its own. On the event loop of a test it would respond
// only after the client's first send.
#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

#include "net/socket_address.h"

namespace mimosadeal {

enum class EarlyResponse : uint8_t {
  kPartOfASuccess,  // Without a length, and a part of the body.
  kWholeRefusal,    // With a length.
};

class ResettingUpstream {
 public:
  // The address must be free.
  explicit ResettingUpstream(
      const SocketAddress& address,
      EarlyResponse response = EarlyResponse::kPartOfASuccess);
  ~ResettingUpstream();
  ResettingUpstream(const ResettingUpstream&) = delete;
  ResettingUpstream& operator=(const ResettingUpstream&) = delete;

  int responses() const { return responses_; }

 private:
  void Run();
  void RespondTo(int fd);

  int listener_;
  EarlyResponse response_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> responses_ = 0;
  std::thread thread_;  // Last: it uses the other members.
};

}  // namespace mimosadeal
