#include "platform/platform_client.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr size_t kMaxObjectBytes = 2 * 1024 * 1024;
// The platform responds to a watch within this time.
constexpr int kWatchSeconds = 20;
constexpr size_t kMaxQueuedCalls = 256;

uint64_t ParseVersion(std::string_view text) {
  uint64_t version = 0;
  if (text.size() > 2 && text.front() == '"')
    text = text.substr(1, text.size() - 2);
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

Error TransportError(const ClientResponse& response) {
  const std::string message = "no response from the platform: " +
                              std::string(ClientFailureName(response.failure));
  const bool timed_out = response.failure == ClientFailure::kTimeout;
  return MakeError(timed_out ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
                   message);
}

Result<StoredObject> ReadObject(ClientResponse response) {
  if (response.failure != ClientFailure::kNone) return TransportError(response);
  if (response.status == 404)
    return MakeError(ErrorCode::kNotFound, "no such object");
  if (response.status == 304)
    return MakeError(ErrorCode::kTimeout, "the object did not change");
  if (response.status != 200) {
    return MakeError(ErrorCode::kUnavailable,
                     "the platform responded with status " +
                         std::to_string(response.status));
  }
  return StoredObject{ParseVersion(FindHeader(response.headers, "etag")),
                      std::move(response.body)};
}

Result<uint64_t> ReadPut(const ClientResponse& response) {
  if (response.failure != ClientFailure::kNone) {
    if (!response.request_written) return TransportError(response);
    return MakeError(ErrorCode::kUnknownOutcome,
                     "the response to a write was lost");
  }
  if (response.status == 412)
    return MakeError(ErrorCode::kConflict, "the object has another version");
  if (response.status == 200)
    return ParseVersion(FindHeader(response.headers, "etag"));
  if (response.status == 503)
    return MakeError(ErrorCode::kUnavailable, "the platform refused the write");
  return MakeError(
      ErrorCode::kUnknownOutcome,
      "the platform responded with status " + std::to_string(response.status));
}

}  // namespace

PlatformClient::PlatformClient(EventLoop& loop,
                               const PlatformClientOptions& options)
    : timeout_(options.timeout) {
  for (int i = 0; i < options.connections; ++i) {
    HttpClientOptions connection_options{options.address, kMaxObjectBytes, {}};
    connections_.push_back(std::make_unique<HttpClientConnection>(
        loop, std::move(connection_options)));
  }
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::Get(const std::string& name, GetCallback callback) {
  ++counts_.reads;
  ClientRequest request{"GET", "/v1/objects/" + name, {}, "", timeout_};
  Enqueue({std::move(request),
           [callback = std::move(callback)](ClientResponse response) {
             callback(ReadObject(std::move(response)));
           }});
}

void PlatformClient::Put(const std::string& name, uint64_t expected,
                         std::string value, PutCallback callback) {
  ++counts_.writes;
  HttpHeader condition{"if-match", std::to_string(expected)};
  if (expected == kNoObject) condition = {"if-none-match", "*"};
  ClientRequest request{"PUT",
                        "/v1/objects/" + name,
                        {std::move(condition)},
                        std::move(value),
                        timeout_};
  Enqueue({std::move(request),
           [callback = std::move(callback)](const ClientResponse& response) {
             callback(ReadPut(response));
           }});
}

void PlatformClient::Watch(const std::string& name, uint64_t known,
                           GetCallback callback) {
  ++counts_.watches;
  const std::string path =
      "/v1/watch/" + name + "?after=" + std::to_string(known);
  ClientRequest request{
      "GET", path, {}, "", timeout_ + std::chrono::seconds(kWatchSeconds)};
  Enqueue({std::move(request),
           [callback = std::move(callback)](ClientResponse response) {
             callback(ReadObject(std::move(response)));
           }});
}

void PlatformClient::ListHosts(HostsCallback callback) {
  ++counts_.reads;
  ClientRequest request{"GET", "/v1/hosts", {}, "", timeout_};
  Enqueue({std::move(request),
           [callback = std::move(callback)](const ClientResponse& response) {
             if (response.failure != ClientFailure::kNone)
               return callback(TransportError(response));
             if (response.status != 200) {
               return callback(
                   MakeError(ErrorCode::kUnavailable,
                             "the platform did not return the host list"));
             }
             callback(DecodeHostList(response.body));
           }});
}

void PlatformClient::Enqueue(Call call) {
  if (queue_.size() >= kMaxQueuedCalls) {
    ClientResponse refused;
    refused.failure = ClientFailure::kNotConnected;
    call.callback(std::move(refused));
    return;
  }
  queue_.push_back(std::move(call));
  StartNext();
}

void PlatformClient::StartNext() {
  for (auto& connection : connections_) {
    if (queue_.empty()) return;
    if (connection->busy()) continue;
    Call call = std::move(queue_.front());
    queue_.pop_front();
    connection->Start(
        std::move(call.request),
        [this, callback = std::move(call.callback)](ClientResponse response) {
          if (response.failure != ClientFailure::kNone) ++counts_.failures;
          callback(std::move(response));
          StartNext();
        });
  }
}

}  // namespace mimosadeal
