// IPv4 and IPv6 endpoints with numeric addresses, and sockets on them. Host
// names are never resolved.
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
  // Returns "ip:port", or "[ip]:port" for IPv6.
  std::string ToString() const;
};

// A socket address in the form that system calls use.
struct NativeAddress {
  sockaddr_storage storage;
  socklen_t length;
};

// Parses "ip:port" or "[ip]:port". Errors: kInvalidArgument.
Result<SocketAddress> ParseSocketAddress(std::string_view text);

// Errors: kInvalidArgument if `address.ip` is not a numeric address.
Result<NativeAddress> ToNative(const SocketAddress& address);

// Opens a non-blocking listening TCP socket. Errors: kIo with the text of the
// system error.
Result<int> ListenTcp(const SocketAddress& address);
// Opens a non-blocking UDP socket bound to `address`. Errors: kIo.
Result<int> BindUdp(const SocketAddress& address);
// Opens a non-blocking TCP socket and starts to connect it. The socket reports
// later whether the peer refused. Errors: kIo.
Result<int> ConnectTcp(const SocketAddress& address);

}  // namespace mimosadeal
