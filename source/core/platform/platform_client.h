// The platform as this project sees it: versioned objects with conditional
// updates and watches, and the host list. This is the one place that knows the
// platform's HTTP interface.
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

// The version to give for an object that must not exist yet.
inline constexpr uint64_t kNoObject = 0;

struct PlatformClientOptions {
  SocketAddress address;
  Duration timeout{};
  int connections = 1;
};

// Counts of calls, for the bound on what the platform carries.
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

  // Writes `value` if the object's version is `expected`. Gives the new
  // version. Errors: kConflict; kUnavailable, when the write was certainly not
  // done; kUnknownOutcome, when it may have been: read the object back before
  // concluding anything.
  void Put(const std::string& name, uint64_t expected, std::string value,
           PutCallback callback);

  // Waits until the object's version differs from `known` and gives the object;
  // kTimeout after the platform's own bound on a watch. Occupies one connection
  // while it waits.
  void Watch(const std::string& name, uint64_t known, GetCallback callback);

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
