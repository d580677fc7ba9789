#include "world.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>

namespace mimosadeal::review {
namespace {

sockaddr_in Native(const SocketAddress& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

}  // namespace

Record::Record(const std::string& path)
    : file_(path, std::ios::trunc),
      started_at_(std::chrono::steady_clock::now()) {}

double Record::Now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       started_at_)
      .count();
}

void Record::Add(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Now());
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << time << line << std::endl;
}

SocketAddress FreeAddress(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in native = Native({ip, 0});
  socklen_t length = sizeof(native);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&native), length) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&native), &length) != 0) {
    std::exit(kCouldNotRun);
  }
  close(fd);
  return {ip, ntohs(native.sin_port)};
}

HostAddresses MakeHost(const std::string& name, const std::string& zone,
                       const std::string& ip) {
  return {
      name,           zone, FreeAddress(ip), FreeAddress(ip), FreeAddress(ip),
      FreeAddress(ip)};
}

std::string WriteSettings(const std::string& directory,
                          const HostAddresses& host, const SocketAddress& store,
                          const std::string& bounds,
                          const std::string& routes) {
  const std::string path = directory + "/" + host.name + ".toml";
  std::ofstream file(path);
  file << "[host]\nid = \"" << host.name << "\"\nzone = \"" << host.zone
       << "\"\ngroup = \"" << host.zone << "\"\n\n[listen]\ncallers = \""
       << host.callers.ToString() << "\"\nreadiness = \""
       << host.readiness.ToString() << "\"\noperators = \""
       << host.operators.ToString() << "\"\ninner = \"" << host.inner.ToString()
       << "\"\n\n[platform]\n"
       << "protocol = \"object-store\"\naddress = \"" << store.ToString()
       << "\"\nbounds = \"" << bounds << "\"\n\n[limits]\n"
       << "max_descriptors = 2870\ncpu_share = 0.14\nlink_mbps = 700.0\n"
       << "memory_mb = 182\nmax_header_blocks = 64\n";
  if (!routes.empty()) file << "\n[routes]\n" << routes;
  return path;
}

ChildProcess StartHost(const std::string& settings_path,
                       const std::string& log_path) {
  return ChildProcess("target/source/mimosadeal/mimosadeal",
                      {"--settings", settings_path}, log_path);
}

bool Client::Connect(const SocketAddress& address, int receive_buffer,
                     int segment) {
  Close();
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd_ < 0) return false;
  if (receive_buffer > 0) {
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  if (segment > 0)
    setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  const sockaddr_in native = Native(address);
  return connect(fd_, reinterpret_cast<const sockaddr*>(&native),
                 sizeof(native)) == 0;
}

bool Client::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

long Client::Read(std::string& into, size_t most,
                  std::chrono::milliseconds limit) {
  pollfd waiting{fd_, POLLIN, 0};
  const int ready = poll(&waiting, 1, static_cast<int>(limit.count()));
  if (ready <= 0) return -2;
  std::string buffer(most, '\0');
  const ssize_t count = recv(fd_, buffer.data(), most, 0);
  if (count < 0) return -1;
  into.append(buffer, 0, static_cast<size_t>(count));
  return count;
}

void Client::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

bool IsWhole(const std::string& text) {
  const size_t end = text.find("\r\n\r\n");
  const size_t header = text.find("content-length: ");
  if (end == std::string::npos || header == std::string::npos || header > end)
    return false;
  const size_t length = std::strtoul(text.c_str() + header + 16, nullptr, 10);
  return text.size() == end + 4 + length;
}

int StatusOf(const std::string& text) {
  constexpr size_t status_at = 9;  // After "HTTP/1.1 ".
  return text.size() < status_at + 3 ? 0 : std::atoi(text.c_str() + status_at);
}

}  // namespace mimosadeal::review
