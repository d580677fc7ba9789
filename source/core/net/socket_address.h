// An IPv4 or IPv6 endpoint given by number; names are never resolved.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "common/error.h"

namespace mimosadeal {

struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  bool operator==(const SocketAddress&) const = default;
  auto operator<=>(const SocketAddress&) const = default;
  // Returns "ip:port", with the address in brackets when it is IPv6.
  std::string ToString() const;
};

// A socket address as the system calls take it.
struct NativeAddress {
  sockaddr_storage storage;
  socklen_t length;
};

// Parses "ip:port" or "[ip]:port". Errors: kInvalidArgument.
Result<SocketAddress> ParseSocketAddress(std::string_view text);

// Errors: kInvalidArgument when the address is not a number.
Result<NativeAddress> ToNative(const SocketAddress& address);

// Opens a non-blocking listening TCP socket. Errors: kIo with the system's
// reason.
Result<int> ListenTcp(const SocketAddress& address);
// Opens a non-blocking UDP socket bound to `address`. Errors: kIo.
Result<int> BindUdp(const SocketAddress& address);
// Starts a non-blocking connection; a refusal shows later, on the socket.
// Errors: kIo.
Result<int> ConnectTcp(const SocketAddress& address);

}  // namespace mimosadeal
