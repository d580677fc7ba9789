#include "requests/request_classifier.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "common/ids.h"

namespace mimosadeal {
namespace {

constexpr size_t kMaxIdBytes = 128;
constexpr size_t kMaxKeyBytes = 256;
constexpr size_t kMaxTenantBytes = 64;

// End-to-end headers of the caller that are forwarded to the upstream.
constexpr std::array<std::string_view, 8> kForwardedHeaders = {
    "content-type", "accept",   "accept-language", "authorization",
    "cookie",       "if-match", "if-none-match",   "user-agent"};

constexpr std::array<std::string_view, 3> kSafeMethods = {"GET", "HEAD",
                                                          "OPTIONS"};

Classification Refuse(int status, std::string title, std::string detail) {
  Classification result;
  result.problem = Problem{status, std::move(title), std::move(detail),
                           RequestOutcome::kNotRun, 0};
  return result;
}

// Returns the segment `index` of a path, counted from 1, or an empty view.
std::string_view PathSegment(std::string_view path, int index) {
  for (int i = 0; i < index; ++i) {
    if (path.empty() || path.front() != '/') return {};
    path.remove_prefix(1);
    if (i + 1 == index) break;
    const size_t slash = path.find('/');
    path = slash == std::string_view::npos ? std::string_view()
                                           : path.substr(slash);
  }
  return path.substr(0, path.find('/'));
}

bool IsSafeMethod(std::string_view method) {
  return std::find(kSafeMethods.begin(), kSafeMethods.end(), method) !=
         kSafeMethods.end();
}

std::vector<WireHeader> ForwardedHeaders(const HttpHeaders& headers) {
  std::vector<WireHeader> forwarded;
  for (const HttpHeader& header : headers) {
    if (std::find(kForwardedHeaders.begin(), kForwardedHeaders.end(),
                  header.name) == kForwardedHeaders.end())
      continue;
    forwarded.push_back({header.name, header.value});
  }
  return forwarded;
}

}  // namespace

std::vector<std::string> CallerHeaders() {
  return {kKeyHeader, kRankHeader, kTenantHeader, kDeadlineHeader, kIdHeader};
}

Classification ClassifyRequest(const Configuration& configuration,
                               const ClassifierLimits& limits,
                               HttpRequest request) {
  const std::string_view path = request.path;
  const std::string service_name(PathSegment(path, 1));
  const auto found = configuration.services.find(service_name);
  if (found == configuration.services.end()) {
    return Refuse(404, "Unknown service",
                  "no service is called \"" + service_name + "\"");
  }
  const ServiceConfiguration& service = found->second;
  const std::string_view rest = path.substr(1 + service_name.size());

  Classification result;
  result.request.service = &service;
  DispatchRequest& dispatch = result.request.dispatch;
  dispatch.service = service_name;

  const RequestRule* rule = FindRule(service, request.method, rest);
  dispatch.idempotent =
      rule != nullptr ? rule->idempotent : IsSafeMethod(request.method);
  dispatch.rank = rule != nullptr ? rule->rank : service.default_rank;
  const std::string_view rank = FindHeader(request.headers, kRankHeader);
  if (!rank.empty()) dispatch.rank = rank;
  if (FindRank(service, dispatch.rank) == nullptr) {
    return Refuse(400, "Unknown rank",
                  "the service has no rank \"" + dispatch.rank + "\"");
  }

  result.request.deadline = limits.default_deadline;
  const std::string_view deadline =
      FindHeader(request.headers, kDeadlineHeader);
  if (!deadline.empty()) {
    int64_t milliseconds = 0;
    const auto parsed = std::from_chars(
        deadline.data(), deadline.data() + deadline.size(), milliseconds);
    if (parsed.ec != std::errc() ||
        parsed.ptr != deadline.data() + deadline.size() || milliseconds <= 0) {
      return Refuse(400, "Malformed deadline",
                    "mimosa-deadline-ms must be a positive whole number");
    }
    const int64_t longest = ToMilliseconds(limits.longest_deadline);
    result.request.deadline =
        std::chrono::milliseconds(std::min(milliseconds, longest));
  }

  dispatch.tenant =
      FindHeader(request.headers, kTenantHeader).substr(0, kMaxTenantBytes);
  dispatch.id = FindHeader(request.headers, kIdHeader);
  dispatch.has_key = !dispatch.id.empty();
  if (dispatch.id.size() > kMaxIdBytes) {
    return Refuse(
        400, "Idempotency-Key too long",
        "at most " + std::to_string(kMaxIdBytes) + " bytes are taken");
  }
  if (!dispatch.idempotent && !dispatch.has_key && !service.accept_without_id) {
    return Refuse(400, "Idempotency-Key missing",
                  "this request is not idempotent, so it needs an "
                  "Idempotency-Key by which a repetition is known");
  }
  if (!dispatch.has_key) dispatch.id = NewUniqueId();

  std::string_view key = FindHeader(request.headers, kKeyHeader);
  if (key.empty() && service.key_path_segment > 0)
    key = PathSegment(rest, service.key_path_segment);
  if (service.divided_by_key && (key.empty() || key.size() > kMaxKeyBytes)) {
    return Refuse(
        400, "Key missing",
        "this service is divided by key: give it in the path or as Mimosa-Key");
  }
  // A request of a service that is not partitioned by key may run on any
  // upstream. Its id selects the host whose ledger records it.
  dispatch.shard = ShardOfKey(
      service, service.divided_by_key ? key : std::string_view(dispatch.id));

  dispatch.method = std::move(request.method);
  dispatch.path = EncodePath(rest.empty() ? "/" : rest);
  if (!request.query.empty()) dispatch.path += "?" + request.query;
  dispatch.headers = ForwardedHeaders(request.headers);
  dispatch.body = std::move(request.body);
  result.accepted = true;
  return result;
}

}  // namespace mimosadeal
