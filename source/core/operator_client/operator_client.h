// Calls the administration interface of one entry host.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "common/error.h"
#include "net/event_loop.h"
#include "net/http_client_connection.h"

namespace mimosadeal {

struct OperatorAnswer {
  int status = 0;
  nlohmann::json body;
};

class OperatorClient {
 public:
  OperatorClient(const SocketAddress& host, Duration timeout);

  // Errors: kUnavailable when the host cannot be reached and did nothing;
  // kUnknownOutcome when its answer was lost; kMalformed when the answer is not
  // JSON.
  Result<OperatorAnswer> Get(const std::string& path);
  Result<OperatorAnswer> PatchConfiguration(uint64_t base_version,
                                            const std::string& patch_id,
                                            const std::string& patch);

 private:
  Result<OperatorAnswer> Call(ClientRequest request);

  EventLoop loop_;
  HttpClientConnection connection_;
  Duration timeout_;
};

}  // namespace mimosadeal
