#include "operator_client/operator_client.h"

#include <utility>

namespace mimosadeal {
namespace {

constexpr size_t kMaxAnswerBytes = 64 * 1024 * 1024;

}  // namespace

OperatorClient::OperatorClient(const SocketAddress& host, Duration timeout)
    : loop_(EventLoopOptions{}),
      connection_(loop_, HttpClientOptions{host, kMaxAnswerBytes, {}}),
      timeout_(timeout) {}

Result<OperatorAnswer> OperatorClient::Get(const std::string& path) {
  return Call(ClientRequest{"GET", EncodePath(path), {}, "", timeout_});
}

Result<OperatorAnswer> OperatorClient::PatchConfiguration(
    uint64_t base_version, const std::string& patch_id,
    const std::string& patch) {
  ClientRequest request{"PATCH", "/configuration", {}, patch, timeout_};
  request.headers = {{"content-type", "application/merge-patch+json"},
                     {"if-match", "\"" + std::to_string(base_version) + "\""},
                     {"mimosa-patch-id", patch_id}};
  return Call(std::move(request));
}

Result<OperatorAnswer> OperatorClient::Call(ClientRequest request) {
  ClientResponse response;
  bool done = false;
  connection_.Start(std::move(request), [&](ClientResponse answer) {
    response = std::move(answer);
    done = true;
  });
  while (!done) loop_.RunOnce();
  if (response.failure != ClientFailure::kNone) {
    const ErrorCode code = response.request_written ? ErrorCode::kUnknownOutcome
                                                    : ErrorCode::kUnavailable;
    return MakeError(code,
                     "the host did not answer: " +
                         std::string(ClientFailureName(response.failure)));
  }
  OperatorAnswer answer;
  answer.status = response.status;
  answer.body = nlohmann::json::parse(response.body, nullptr, false);
  if (answer.body.is_discarded())
    return MakeError(ErrorCode::kMalformed, "the host's answer is not JSON");
  return answer;
}

}  // namespace mimosadeal
