// A blocking client of the administration API of one entry host.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "common/error.h"
#include "net/event_loop.h"
#include "net/http_client_connection.h"

namespace mimosadeal {

struct OperatorResponse {
  int status = 0;
  nlohmann::json body;
};

class OperatorClient {
 public:
  OperatorClient(const SocketAddress& host, Duration timeout);

  // Errors: kUnavailable when the host is unreachable and has done nothing;
  // kUnknownOutcome when its response was lost; kMalformed when the response is
  // not JSON.
  Result<OperatorResponse> Get(const std::string& path);
  Result<OperatorResponse> PatchConfiguration(uint64_t base_version,
                                              const std::string& patch_id,
                                              const std::string& patch);

 private:
  Result<OperatorResponse> Call(ClientRequest request);

  EventLoop loop_;
  HttpClientConnection connection_;
  Duration timeout_;
};

}  // namespace mimosadeal
