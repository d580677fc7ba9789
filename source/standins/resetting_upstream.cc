#include "resetting_upstream.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>

namespace mimosadeal {
namespace {

constexpr int kPollMs = 20;
// After it, a client with more to send waits for room in the kernel.
constexpr int kRefusalDelayMs = 10;
constexpr size_t kMaxHeadBytes = 16 * 1024;

// Returns what arrives until the end of a request's head, or before it an empty
// text.
std::string ReceiveHead(int fd) {
  std::string head;
  std::array<char, 4096> bytes{};
  while (head.find("\r\n\r\n") == std::string::npos) {
    const ssize_t count = recv(fd, bytes.data(), bytes.size(), 0);
    if (count <= 0 || head.size() > kMaxHeadBytes) return "";
    head.append(bytes.data(), static_cast<size_t>(count));
  }
  return head;
}

// Returns the header line with the request's id, or an empty text.
std::string IdLine(std::string_view head) {
  constexpr std::string_view name = "x-request-id: ";
  const size_t begin = head.find(name);
  if (begin == std::string_view::npos) return "";
  return std::string(head.substr(begin, head.find("\r\n", begin) - begin)) +
         "\r\n";
}

}  // namespace

ResettingUpstream::ResettingUpstream(const SocketAddress& address,
                                     EarlyResponse response)
    : listener_(ListenTcp(address).value()),
      response_(response),
      thread_([this] { Run(); }) {}

ResettingUpstream::~ResettingUpstream() {
  stopping_ = true;
  thread_.join();
  close(listener_);
}

void ResettingUpstream::Run() {
  while (!stopping_) {
    pollfd waiting = {listener_, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) <= 0) continue;
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) RespondTo(fd);
  }
}

void ResettingUpstream::RespondTo(int fd) {
  const std::string head = ReceiveHead(fd);
  const std::string response =
      response_ == EarlyResponse::kWholeRefusal
          ? "HTTP/1.1 503 Service Unavailable\r\n" + IdLine(head) +
                "x-not-executed: 1\r\ncontent-length: 4\r\n\r\nbusy"
          : "HTTP/1.1 200 OK\r\n" + IdLine(head) +
                "x-response-signature: s\r\n\r\n"
                "part of the body";
  if (response_ == EarlyResponse::kWholeRefusal)
    poll(nullptr, 0, kRefusalDelayMs);
  // Hosts also open connections on which they send nothing.
  if (!head.empty() &&
      send(fd, response.data(), response.size(), MSG_NOSIGNAL) > 0)
    ++responses_;
  const linger reset_on_close = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  close(fd);
}

}  // namespace mimosadeal
