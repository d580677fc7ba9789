// The client of the platform's native HTTP API: versioned objects with
// conditional writes and watches, and the host list.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/error.h"
#include "net/http_client_connection.h"
#include "platform/platform_host.h"

namespace mimosadeal {

class EventLoop;

struct StoredObject {
  uint64_t version = 0;
  std::string value;
};

// Expected version of an object that must not exist yet.
inline constexpr uint64_t kNoObject = 0;

struct PlatformClientOptions {
  SocketAddress address;
  Duration timeout{};
  int connections = 1;  // Used in parallel, also by waiting watches.
};

// Numbers of calls. The platform limits how many it accepts.
struct PlatformCallCounts {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  uint64_t failures = 0;
};

class PlatformClient {
 public:
  using GetCallback = std::function<void(Result<StoredObject>)>;
  using PutCallback = std::function<void(Result<uint64_t>)>;
  using HostsCallback = std::function<void(Result<std::vector<PlatformHost>>)>;

  PlatformClient(EventLoop& loop, const PlatformClientOptions& options);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // Errors: kNotFound, kUnavailable, kTimeout.
  void Get(const std::string& name, GetCallback callback);

  // Writes `value` if the object's version is `expected`, and returns the new
  // version. Errors: kConflict; kUnavailable when nothing was written;
  // kUnknownOutcome when the value may have been written, so that the object
  // must be read to find out.
  void Put(const std::string& name, uint64_t expected, std::string value,
           PutCallback callback);

  // Waits until the object's version differs from `known`, and returns the
  // object. Errors: as Get; kTimeout when the version does not change within
  // the platform's time for a watch. Occupies one connection meanwhile.
  void Watch(const std::string& name, uint64_t known, GetCallback callback);

  // Errors: kUnavailable, kTimeout, kMalformed.
  void ListHosts(HostsCallback callback);

  const PlatformCallCounts& counts() const { return counts_; }

 private:
  struct Call {
    ClientRequest request;
    HttpClientConnection::Callback callback;
  };

  void Enqueue(Call call);
  void StartNext();

  std::vector<std::unique_ptr<HttpClientConnection>> connections_;
  std::deque<Call> queue_;
  Duration timeout_;
  PlatformCallCounts counts_;
};

}  // namespace mimosadeal
