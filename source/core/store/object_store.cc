#include "store/object_store.h"

#include <utility>
#include <vector>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr size_t kMaxHeaderBytes = 16 * 1024;
// A list's page is about 1 MB; an object may be as large.
constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;
// What a watch may take beyond the time that it waits.
constexpr Duration kWatchSlack = std::chrono::seconds(1);
// A connection into a partition would hang beyond its end.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr size_t kMaxIdleConnections = 3;
constexpr Duration kMaxIdle = std::chrono::seconds(5);

Error FailureOf(const ExchangeResult& result, bool is_write) {
  const std::string text = "the store did not answer: " +
                           std::string(ClientFailureName(result.failure)) +
                           ", " + std::string(StreamEndName(result.end));
  const bool unknown = is_write && result.request_written;
  return MakeError(
      unknown ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable, text);
}

}  // namespace

struct ObjectStore::Call {
  std::unique_ptr<ExchangeClient> client;
  bool is_watch = false;
  std::function<void(const ExchangeResult&)> done;
};

ObjectStore::ObjectStore(EventLoop& loop, const SocketAddress& address,
                         const StoreProtocol& protocol, Duration call_timeout)
    : loop_(loop),
      address_(address),
      protocol_(protocol),
      call_timeout_(call_timeout) {}

ObjectStore::~ObjectStore() = default;

std::unique_ptr<ExchangeClient> ObjectStore::TakeConnection() {
  const MonotonicTime now = loop_.timers().now();
  while (!idle_.empty()) {
    auto client = std::move(idle_.back());
    idle_.pop_back();
    if (client->reusable() && now - client->idle_since() < kMaxIdle)
      return client;
  }
  return std::make_unique<ExchangeClient>(
      loop_, address_, HttpTextLimits{kMaxHeaderBytes, kMaxBodyBytes});
}

void ObjectStore::Start(ExchangeRequest request, bool is_watch,
                        std::function<void(const ExchangeResult&)> done) {
  request.connect_timeout = kConnectTimeout;
  auto call = std::make_unique<Call>();
  call->client = TakeConnection();
  call->is_watch = is_watch;
  call->done = std::move(done);
  Call* self = call.get();
  calls_.push_back(std::move(call));
  const auto at = std::prev(calls_.end());
  self->client->Start(std::move(request), [this, at](ExchangeResult result) {
    const std::unique_ptr<Call> finished = std::move(*at);
    calls_.erase(at);
    if (result.failure != ClientFailure::kNone) {
      ++counts_.failures;
      // The others may be as dead as this one.
      idle_.clear();
    }
    if (finished->client->reusable() && idle_.size() < kMaxIdleConnections)
      idle_.push_back(std::move(finished->client));
    finished->done(result);
  });
}

void ObjectStore::List(const std::string& kind, Callback<ObjectPage> callback) {
  ContinueList(kind, {}, std::move(callback));
}

void ObjectStore::ContinueList(const std::string& kind, ObjectPage gathered,
                               Callback<ObjectPage> callback) {
  ++counts_.reads;
  ExchangeRequest request = protocol_.list(kind, gathered.next);
  request.timeout = call_timeout_;
  auto done = [this, kind, gathered = std::move(gathered),
               callback =
                   std::move(callback)](const ExchangeResult& result) mutable {
    if (result.failure != ClientFailure::kNone) {
      callback(FailureOf(result, false));
      return;
    }
    Result<ObjectPage> page = protocol_.read_page(result.response);
    if (!page.has_value()) {
      callback(page.error());
      return;
    }
    // The first page's revision: a watch from there misses nothing that later
    // pages lack.
    if (gathered.store_revision == 0)
      gathered.store_revision = page.value().store_revision;
    for (StoredObject& object : page.value().objects)
      gathered.objects.push_back(std::move(object));
    gathered.next = page.value().next;
    if (gathered.next.empty()) {
      callback(std::move(gathered));
    } else {
      ContinueList(kind, std::move(gathered), std::move(callback));
    }
  };
  Start(std::move(request), false, std::move(done));
}

void ObjectStore::Get(const std::string& kind, const std::string& name,
                      Callback<StoredObject> callback,
                      ReadConsistency consistency) {
  ++counts_.reads;
  ExchangeRequest request =
      protocol_.get(kind, name, consistency == ReadConsistency::kMayBeStale);
  request.timeout = call_timeout_;
  Start(std::move(request), false,
        [this, callback = std::move(callback)](const ExchangeResult& result) {
          if (result.failure != ClientFailure::kNone) {
            callback(FailureOf(result, false));
          } else {
            callback(protocol_.read_object(result.response));
          }
        });
}

void ObjectStore::Write(ObjectWrite write, Callback<StoredObject> callback) {
  ++counts_.writes;
  ExchangeRequest request = protocol_.write(write);
  request.timeout = call_timeout_;
  Start(std::move(request), false,
        [this, callback = std::move(callback)](const ExchangeResult& result) {
          if (result.failure != ClientFailure::kNone) {
            callback(FailureOf(result, true));
          } else {
            callback(protocol_.read_object(result.response));
          }
        });
}

void ObjectStore::Watch(const std::string& kind, uint64_t revision,
                        Duration wait, Callback<ObjectChanges> callback) {
  ++counts_.watches;
  ExchangeRequest request = protocol_.watch(kind, revision, wait);
  request.timeout = wait + kWatchSlack;
  Start(std::move(request), true,
        [this, callback = std::move(callback)](const ExchangeResult& result) {
          if (result.failure != ClientFailure::kNone) {
            callback(FailureOf(result, false));
          } else {
            callback(protocol_.read_changes(result.response));
          }
        });
}

void ObjectStore::CancelWatches() {
  std::vector<std::unique_ptr<Call>> cut;
  for (auto at = calls_.begin(); at != calls_.end();) {
    const auto next = std::next(at);
    if ((*at)->is_watch) {
      cut.push_back(std::move(*at));
      calls_.erase(at);
    }
    at = next;
  }
  ExchangeResult result;
  result.failure = ClientFailure::kAborted;
  for (const auto& call : cut) {
    call->client->Abort();
    call->done(result);
  }
}

}  // namespace mimosadeal
