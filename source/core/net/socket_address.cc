#include "net/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace mimosadeal {
namespace {

constexpr int kListenBacklog = 1024;

Error SystemError(std::string_view action, const SocketAddress& address) {
  return MakeError(ErrorCode::kIo, std::string(action) + " " +
                                       address.ToString() +
                                       " failed: " + std::strerror(errno));
}

Result<int> OpenSocket(const NativeAddress& native, int type,
                       const SocketAddress& address) {
  const int fd =
      socket(native.storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return SystemError("opening a socket for", address);
  const int enabled = 1;
  if (type == SOCK_STREAM)
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  return fd;
}

Error CloseWithError(int fd, std::string_view action,
                     const SocketAddress& address) {
  Error error = SystemError(action, address);
  close(fd);
  return error;
}

}  // namespace

std::string SocketAddress::ToString() const {
  if (ip.find(':') == std::string::npos) return ip + ":" + std::to_string(port);
  return "[" + ip + "]:" + std::to_string(port);
}

Result<SocketAddress> ParseSocketAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  const Error malformed = MakeError(
      ErrorCode::kInvalidArgument,
      "\"" + std::string(text) + "\" is not an address of the form ip:port");
  if (colon == std::string_view::npos) return malformed;
  std::string_view ip = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    ip = ip.substr(1, ip.size() - 2);
  // The system's functions would read up to it.
  if (ip.find('\0') != std::string_view::npos) return malformed;
  SocketAddress address{std::string(ip), 0};
  const auto parsed = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), address.port);
  if (parsed.ec != std::errc() ||
      parsed.ptr != port_text.data() + port_text.size())
    return malformed;
  if (!ToNative(address).has_value()) return malformed;
  return address;
}

Result<NativeAddress> ToNative(const SocketAddress& address) {
  NativeAddress native{};
  auto* v4 = reinterpret_cast<sockaddr_in*>(&native.storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    native.length = sizeof(sockaddr_in);
    return native;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&native.storage);
  if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    native.length = sizeof(sockaddr_in6);
    return native;
  }
  return MakeError(ErrorCode::kInvalidArgument,
                   "\"" + address.ip + "\" is not a numeric IP address");
}

Result<int> ListenTcp(const SocketAddress& address) {
  BOOST_OUTCOME_TRY(native, ToNative(address));
  BOOST_OUTCOME_TRY(fd, OpenSocket(native, SOCK_STREAM, address));
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const auto* raw = reinterpret_cast<const sockaddr*>(&native.storage);
  if (bind(fd, raw, native.length) != 0)
    return CloseWithError(fd, "binding", address);
  if (listen(fd, kListenBacklog) != 0)
    return CloseWithError(fd, "listening on", address);
  return fd;
}

Result<int> BindUdp(const SocketAddress& address) {
  BOOST_OUTCOME_TRY(native, ToNative(address));
  BOOST_OUTCOME_TRY(fd, OpenSocket(native, SOCK_DGRAM, address));
  const auto* raw = reinterpret_cast<const sockaddr*>(&native.storage);
  if (bind(fd, raw, native.length) != 0)
    return CloseWithError(fd, "binding", address);
  return fd;
}

Result<int> ConnectTcp(const SocketAddress& address) {
  BOOST_OUTCOME_TRY(native, ToNative(address));
  BOOST_OUTCOME_TRY(fd, OpenSocket(native, SOCK_STREAM, address));
  const auto* raw = reinterpret_cast<const sockaddr*>(&native.storage);
  if (connect(fd, raw, native.length) != 0 && errno != EINPROGRESS) {
    return CloseWithError(fd, "connecting to", address);
  }
  return fd;
}

}  // namespace mimosadeal
