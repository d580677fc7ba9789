#include "operator_client/operator_client.h"

#include <utility>

namespace mimosadeal {
namespace {

constexpr size_t kMaxResponseBytes = 64 * 1024 * 1024;

}  // namespace

OperatorClient::OperatorClient(const SocketAddress& host, Duration timeout)
    : loop_(EventLoopOptions{}),
      connection_(loop_, HttpClientOptions{host, kMaxResponseBytes, {}}),
      timeout_(timeout) {}

Result<OperatorResponse> OperatorClient::Get(const std::string& path) {
  return Call(ClientRequest{"GET", EncodePath(path), {}, "", timeout_});
}

Result<OperatorResponse> OperatorClient::PatchConfiguration(
    uint64_t base_version, const std::string& patch_id,
    const std::string& patch) {
  ClientRequest request{"PATCH", "/configuration", {}, patch, timeout_};
  request.headers = {{"content-type", "application/merge-patch+json"},
                     {"if-match", "\"" + std::to_string(base_version) + "\""},
                     {"mimosa-patch-id", patch_id}};
  return Call(std::move(request));
}

Result<OperatorResponse> OperatorClient::Call(ClientRequest request) {
  ClientResponse response;
  bool done = false;
  connection_.Start(std::move(request), [&](ClientResponse operator_response) {
    response = std::move(operator_response);
    done = true;
  });
  while (!done) loop_.RunOnce();
  if (response.failure != ClientFailure::kNone) {
    const ErrorCode code = response.request_written ? ErrorCode::kUnknownOutcome
                                                    : ErrorCode::kUnavailable;
    return MakeError(code,
                     "no response from the host: " +
                         std::string(ClientFailureName(response.failure)));
  }
  OperatorResponse operator_response;
  operator_response.status = response.status;
  operator_response.body = nlohmann::json::parse(response.body, nullptr, false);
  if (operator_response.body.is_discarded())
    return MakeError(ErrorCode::kMalformed, "the host's response is not JSON");
  return operator_response;
}

}  // namespace mimosadeal
