// The parts that the cases of this review share: settings files and processes
// of entry hosts, free loopback ports, a record, and a blocking HTTP client.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "child_process.h"
#include "net/socket_address.h"

namespace mimosadeal::review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Writes lines with the time since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path);
  void Add(const std::string& line);
  // Seconds since the start of the case.
  double Now() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point started_at_;
};

// Returns a loopback address with a port that is free now.
SocketAddress FreeAddress(const std::string& ip);

struct HostAddresses {
  std::string name;
  std::string zone;
  SocketAddress callers;
  SocketAddress readiness;
  SocketAddress operators;
  SocketAddress inner;
};

HostAddresses MakeHost(const std::string& name, const std::string& zone,
                       const std::string& ip);
// Writes the settings that deploy/settings.template.toml gives a host of a
// small deployment. Returns the file's path. `routes`: lines of the section
// [routes].
std::string WriteSettings(const std::string& directory,
                          const HostAddresses& host, const SocketAddress& store,
                          const std::string& bounds,
                          const std::string& routes = "");
// The command of deploy/system.toml.
ChildProcess StartHost(const std::string& settings_path,
                       const std::string& log_path);

// A blocking client connection. Times are limits on the whole call.
class Client {
 public:
  Client() = default;
  ~Client() { Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // `receive_buffer` and `segment`: of the socket, in bytes; 0 for the system's
  // defaults.
  bool Connect(const SocketAddress& address, int receive_buffer = 0,
               int segment = 0);
  bool Send(const std::string& bytes);
  // Reads what there is, at most `most` bytes, and waits for it for at most
  // `limit`. Returns the number of bytes, 0 at the end of the connection, -1
  // after a reset or another error, -2 if there was nothing in time.
  long Read(std::string& into, size_t most, std::chrono::milliseconds limit);
  void Close();
  int fd() const { return fd_; }

 private:
  int fd_ = -1;
};

// Whether `text` is a whole response with a Content-Length.
bool IsWhole(const std::string& text);
// Status of a response of which at least the first line has arrived, else 0.
int StatusOf(const std::string& text);

}  // namespace mimosadeal::review
