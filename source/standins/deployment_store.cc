#include "deployment_store.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr char kObjectsPath[] = "/mimosadeal/objects/";
constexpr HttpMessageLimits kTextLimits = {16 * 1024, 2 * 1024 * 1024};
constexpr Duration kTimeout = std::chrono::seconds(60);
constexpr Duration kWatchCheckInterval = std::chrono::milliseconds(50);
// A string of a stored object with this text is sent as one that no reader can
// decode: JSON for half of a surrogate pair.
constexpr std::string_view kUnreadableText = "(unreadable)";
constexpr char kHalfOfAPair[] = "\\ud800";

void SpoilUnreadableText(std::string& json) {
  size_t at = json.find(kUnreadableText);
  while (at != std::string::npos) {
    json.replace(at, kUnreadableText.size(), kHalfOfAPair);
    at = json.find(kUnreadableText, at);
  }
}

// Stands for a byte that is to be sent as it is, in two hexadecimal digits that
// follow.
constexpr std::string_view kByteMark = "(byte)";

// Returns the text with marks in place of the bytes beyond ASCII.
std::string MarkBytes(const std::string& text) {
  constexpr char hex_digits[] = "0123456789abcdef";
  std::string marked;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80) {
      marked += c;
      continue;
    }
    marked += kByteMark;
    marked += hex_digits[byte >> 4];
    marked += hex_digits[byte & 0xf];
  }
  return marked;
}

void ReplaceByteMarks(std::string& json) {
  for (size_t at = json.find(kByteMark); at != std::string::npos;
       at = json.find(kByteMark, at)) {
    const std::string digits = json.substr(at + kByteMark.size(), 2);
    json.replace(at, kByteMark.size() + digits.size(), 1,
                 static_cast<char>(std::stoi(digits, nullptr, 16)));
  }
}

// What "+" stands for: a blank in a query, itself in a path.
enum class PlusSign : uint8_t { kItself, kBlank };

// Decodes the percent-encoded bytes. A "%" without two hexadecimal digits
// stands for itself.
std::string DecodeUrl(std::string_view encoded, PlusSign plus) {
  std::string decoded;
  for (size_t at = 0; at < encoded.size(); ++at) {
    unsigned value = 0;
    const char* const digits = encoded.data() + at + 1;
    const bool escape =
        encoded[at] == '%' && at + 2 < encoded.size() &&
        std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
    if (escape) {
      decoded += static_cast<char>(value);
      at += 2;
    } else {
      const bool blank = encoded[at] == '+' && plus == PlusSign::kBlank;
      decoded += blank ? ' ' : encoded[at];
    }
  }
  return decoded;
}

bool IsMisplaced(const std::string& name) {
  return name.empty() || name == "." || name == ".." ||
         name.find('/') != std::string::npos;
}

std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> values;
  size_t at = 0;
  while (at < query.size()) {
    const size_t end = std::min(query.find('&', at), query.size());
    const std::string part = query.substr(at, end - at);
    const size_t equals = part.find('=');
    if (equals != std::string::npos) {
      values[DecodeUrl(part.substr(0, equals), PlusSign::kBlank)] =
          DecodeUrl(part.substr(equals + 1), PlusSign::kBlank);
    }
    at = end + 1;
  }
  return values;
}

}  // namespace

Result<std::unique_ptr<DeploymentStore>> DeploymentStore::Start(
    EventLoop& loop, const SocketAddress& address) {
  std::unique_ptr<DeploymentStore> store(new DeploymentStore(loop));
  DeploymentStore* self = store.get();
  HttpServerHandlers handlers;
  handlers.on_request = [self](ExchangeId id, HttpRequest&& request) {
    self->OnRequest(id, request);
  };
  handlers.on_abandoned = [self](ExchangeId id) {
    self->unanswered_.erase(id);
    self->watches_.remove_if(
        [id](const Watch& watch) { return watch.exchange == id; });
  };
  handlers.make_refusal = [](int status, const std::string&) {
    HttpResponse response;
    response.status = status;
    return response;
  };
  BOOST_OUTCOME_TRY(
      server, ExchangeServer::Listen(loop, address,
                                     {kTextLimits, kTimeout, kTimeout, 1000},
                                     std::move(handlers)));
  store->server_ = std::move(server);
  store->timer_ = loop.timers().Every(kWatchCheckInterval,
                                      [self] { self->ExpireWatches(); });
  return store;
}

DeploymentStore::~DeploymentStore() { loop_.timers().Cancel(timer_); }

void DeploymentStore::Respond(ExchangeId id, int status,
                              const nlohmann::json& body) {
  if (unanswered_.contains(id)) return;
  HttpResponse response;
  response.status = status;
  response.headers = {{"Store-Era", std::to_string(era_)}};
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  SpoilUnreadableText(response.body);
  ReplaceByteMarks(response.body);
  server_->Respond(id, response);
}

void DeploymentStore::LoseResponse(ExchangeId id) {
  unanswered_.insert(id);
  ++lost_responses_;
}

void DeploymentStore::LoseWaitingWatches() {
  for (const Watch& watch : watches_) LoseResponse(watch.exchange);
}

void DeploymentStore::TakeCopy() {
  copy_ = objects_;
  copy_revision_ = revision_;
}

void DeploymentStore::RestoreCopy() {
  lost_ = std::exchange(objects_, copy_);
  revision_ = copy_revision_;
  ++era_;
  history_.clear();
  Compact();
  CancelWatches();
}

void DeploymentStore::RewriteLost() {
  for (const char* kind : {"config", "servers", "evacuations"}) {
    std::vector<std::string> removed;
    for (const auto& [name, object] : objects_[kind]) {
      if (!lost_[kind].contains(name)) removed.push_back(name);
    }
    for (const std::string& name : removed) Remove(kind, name);
    for (const auto& [name, object] : lost_[kind])
      Put(kind, name, object["spec"]);
  }
}

void DeploymentStore::OnRequest(ExchangeId id, const HttpRequest& request) {
  ++calls_;
  if (faults_.silent) return;
  if (faults_.call_to_lose > 0 && --faults_.call_to_lose == 0) LoseResponse(id);
  if (faults_.delay == Duration::zero()) {
    Handle(id, request);
    return;
  }
  loop_.timers().After(
      faults_.delay, [this, id, request, alive = std::weak_ptr<char>(alive_)] {
        if (!alive.expired() && !faults_.silent) Handle(id, request);
      });
}

void DeploymentStore::Handle(ExchangeId id, const HttpRequest& request) {
  if (faults_.refuse || !request.path.starts_with(kObjectsPath)) {
    Respond(id, faults_.refuse ? 503 : 404, {});
    return;
  }
  std::string kind = request.path.substr(sizeof(kObjectsPath) - 1);
  std::string name;
  if (const size_t slash = kind.find('/'); slash != std::string::npos) {
    name =
        DecodeUrl(std::string_view(kind).substr(slash + 1), PlusSign::kItself);
    kind.resize(slash);
    if (IsMisplaced(name)) ++misplaced_calls_;
  }
  if (request.method == "GET") {
    OnRead(id, kind, name, ParseQuery(request.query));
  } else {
    OnWrite(id, request, kind, std::move(name));
  }
}

void DeploymentStore::OnRead(ExchangeId id, const std::string& kind,
                             const std::string& name,
                             const std::map<std::string, std::string>& query) {
  if (!name.empty()) {
    const auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
      Respond(id, 404, {});
    } else {
      Respond(id, 200, found->second);
    }
    return;
  }
  if (kind == faults_.malformed_kind) {
    Respond(id, 200, nlohmann::json::object());
    return;
  }
  if (!query.contains("watch")) {
    const auto after = query.find("after");
    OnList(id, kind, after == query.end() ? "" : after->second);
    return;
  }
  if (kind == faults_.watch_to_lose) {
    faults_.watch_to_lose.clear();
    LoseResponse(id);
  }
  Watch watch{id, kind, std::stoull(query.at("watch")),
              loop_.timers().now() +
                  std::chrono::milliseconds(std::stoll(query.at("waitMs")))};
  if (watch.revision < oldest_revision_ || watch.revision > revision_) {
    Respond(id, 410, {});
  } else if (!RespondToWatch(watch, false)) {
    watches_.push_back(watch);
  }
}

void DeploymentStore::OnList(ExchangeId id, const std::string& kind,
                             const std::string& after) {
  ++lists_;
  if (faults_.lost_list_interval != 0 &&
      lists_ % faults_.lost_list_interval == 0) {
    server_->Drop(id);
    return;
  }
  const auto& objects = objects_[kind];
  nlohmann::json items = nlohmann::json::array();
  auto next = objects.upper_bound(after);
  for (; next != objects.end() && items.size() < faults_.max_page_objects;
       ++next)
    items.push_back(next->second);
  Respond(id, 200,
          {{"items", std::move(items)},
           {"more", next != objects.end()},
           {"asOf", revision_}});
}

bool DeploymentStore::RespondToWatch(const Watch& watch, bool timed_out) {
  nlohmann::json events = nlohmann::json::array();
  uint64_t as_of = revision_;
  for (const Event& event : history_) {
    if (event.kind != watch.kind || event.revision <= watch.revision) continue;
    events.push_back({{"removed", event.removed}, {"object", event.object}});
    if (events.size() != faults_.max_watch_events) continue;
    as_of = event.revision;
    break;
  }
  if (events.empty() && !timed_out) return false;
  Respond(watch.exchange, 200, {{"events", events}, {"asOf", as_of}});
  return true;
}

void DeploymentStore::OnWrite(ExchangeId id, const HttpRequest& request,
                              const std::string& kind, std::string name) {
  const nlohmann::json body =
      nlohmann::json::parse(request.body, nullptr, false);
  const bool create = request.method == "POST";
  if (create) {
    name = body["metadata"]["name"].get<std::string>();
    if (IsMisplaced(name)) ++misplaced_calls_;
  }
  if (faults_.late_writes > 0) {
    --faults_.late_writes;
    WriteLate(request, kind, name);
    server_->Drop(id);
    return;
  }
  const nlohmann::json* current = Find(kind, name);
  const bool conflict =
      create ? current != nullptr
             : current == nullptr ||
                   (*current)["metadata"]["rev"] != body["metadata"]["rev"];
  if (conflict) {
    Respond(id, current == nullptr ? 404 : 409,
            current == nullptr ? nlohmann::json() : *current);
    return;
  }
  ++writes_;
  Put(kind, name, body["spec"]);
  if (faults_.lose_write_responses > 0) {
    --faults_.lose_write_responses;
    server_->Drop(id);
    return;
  }
  Respond(id, create ? 201 : 200, *Find(kind, name));
}

void DeploymentStore::WriteLate(const HttpRequest& request,
                                const std::string& kind,
                                const std::string& name) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const bool create = request.method == "POST";
  loop_.timers().After(
      faults_.late_write_delay,
      [this, kind, name, body, create, alive = std::weak_ptr<char>(alive_)] {
        if (alive.expired()) return;
        const nlohmann::json* current = Find(kind, name);
        const bool holds =
            create ? current == nullptr
                   : current != nullptr && (*current)["metadata"]["rev"] ==
                                               body["metadata"]["rev"];
        if (!holds) return;
        ++writes_;
        Put(kind, name, body["spec"]);
      });
}

void DeploymentStore::Put(const std::string& kind, const std::string& name,
                          nlohmann::json spec) {
  nlohmann::json& object = objects_[kind][name];
  if (!object.is_null() && object["spec"] == spec) return;
  ++revision_;
  object = {{"metadata",
             {{"name", faults_.raw_names ? MarkBytes(name) : name},
              {"rev", revision_}}},
            {"spec", std::move(spec)}};
  NotifyWatches(kind, object, false);
}

void DeploymentStore::Remove(const std::string& kind, const std::string& name) {
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) return;
  nlohmann::json object = found->second;
  objects_[kind].erase(found);
  object["metadata"]["rev"] = ++revision_;
  NotifyWatches(kind, object, true);
}

const nlohmann::json* DeploymentStore::Find(const std::string& kind,
                                            const std::string& name) const {
  const auto objects = objects_.find(kind);
  if (objects == objects_.end()) return nullptr;
  const auto found = objects->second.find(name);
  return found == objects->second.end() ? nullptr : &found->second;
}

void DeploymentStore::NotifyWatches(const std::string& kind,
                                    const nlohmann::json& object,
                                    bool removed) {
  history_.push_back({revision_, kind, object, removed});
  if (faults_.silent) return;
  watches_.remove_if(
      [this](const Watch& watch) { return RespondToWatch(watch, false); });
}

void DeploymentStore::CancelWatches() {
  const std::list<Watch> cancelled = std::move(watches_);
  watches_.clear();
  for (const Watch& watch : cancelled) server_->Drop(watch.exchange);
}

void DeploymentStore::ExpireWatches() {
  if (faults_.silent) return;
  const MonotonicTime now = loop_.timers().now();
  watches_.remove_if([this, now](const Watch& watch) {
    return RespondToWatch(watch, now >= watch.until);
  });
}

}  // namespace mimosadeal
