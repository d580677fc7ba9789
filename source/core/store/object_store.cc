#include "store/object_store.h"

#include <string_view>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "store/store_revision.h"

namespace mimosadeal {
namespace {

constexpr size_t kMaxHeaderBytes = 16 * 1024;
// A page of a list has about 1 MB, and one object may be as large.
constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;
// A response that has begun may take longer than its call's time as long as
// bytes arrive: a configuration takes a second on a link of 10 Mbit/s. A
// retransmission takes 0.2 s and another 0.4 s.
constexpr Duration kStallTimeout = std::chrono::milliseconds(700);
// Of a response of kMaxBodyBytes on such a link.
constexpr Duration kMaxExtension = std::chrono::seconds(8);
// Short, because a connect attempt that starts during a network partition would
// otherwise still hang after its end.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr size_t kMaxIdleConnections = 3;
constexpr Duration kMaxIdleTime = std::chrono::seconds(5);
// A page of a list is requested again after this many lost responses in a row,
// as a list that began anew would cost all pages again.
constexpr int kMaxLostResponses = 2;

Error MakeFailure(const ExchangeResult& result, bool is_write) {
  const std::string text = "no response from the store: " +
                           std::string(ClientFailureName(result.failure)) +
                           ", " + std::string(StreamEndName(result.end));
  const bool unknown = is_write && result.request_written;
  return MakeError(
      unknown ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable, text);
}

// Returns the position of the page after one that ended at `last` and began
// after it as well. JSON cannot carry names that are no UTF-8, so the store may
// have sent U+FFFD in place of bytes that sort after it.
std::string SkipReplacedBytes(std::string last) {
  constexpr std::string_view replacement = "\xef\xbf\xbd";
  const size_t at = last.find(replacement);
  if (at == std::string::npos) return last;
  last.resize(at);
  return last + kAfterUtf8;
}

void SetEra(std::vector<StoredObject>& objects, uint64_t era) {
  for (StoredObject& object : objects)
    object.revision = MakeStoreRevision(era, object.revision);
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
    if (client->reusable() && now - client->idle_since() < kMaxIdleTime)
      return client;
  }
  return std::make_unique<ExchangeClient>(
      loop_, address_, HttpMessageLimits{kMaxHeaderBytes, kMaxBodyBytes});
}

void ObjectStore::Start(ExchangeRequest request, bool is_watch,
                        std::function<void(const ExchangeResult&)> done) {
  request.connect_timeout = kConnectTimeout;
  request.stall_timeout = kStallTimeout;
  request.max_extension = kMaxExtension;
  auto call = std::make_unique<Call>();
  call->client = TakeConnection();
  call->is_watch = is_watch;
  call->done = std::move(done);
  Call* started_call = call.get();
  calls_.push_back(std::move(call));
  const auto position = std::prev(calls_.end());
  started_call->client->Start(
      std::move(request), [this, position](const ExchangeResult& result) {
        const std::unique_ptr<Call> finished = std::move(*position);
        calls_.erase(position);
        if (result.failure != ClientFailure::kNone) {
          ++counts_.failures;
          // The idle connections are probably broken too.
          idle_.clear();
        }
        if (result.failure == ClientFailure::kNone) NoteEra(result.response);
        if (finished->client->reusable() && idle_.size() < kMaxIdleConnections)
          idle_.push_back(std::move(finished->client));
        finished->done(result);
      });
}

Result<uint64_t> ObjectStore::ResponseEra(const HttpResponse& response) const {
  const Result<uint64_t> read = protocol_.read_era(response);
  if (read.has_value() && read.value() < era_) {
    return MakeError(ErrorCode::kUnavailable,
                     "the response is from before the store was restored");
  }
  return era_;
}

void ObjectStore::NoteEra(const HttpResponse& response) {
  const Result<uint64_t> read = protocol_.read_era(response);
  // A store that was never restored need not state an era.
  if (!read.has_value() && read.error().code == ErrorCode::kNotFound &&
      era_ == 0) {
    return;
  }
  EraObservation observation{era_, era_, ""};
  if (!read.has_value()) {
    observation.error = DescribeError(read.error());
  } else if (read.value() < era_) {
    observation.error = "the store's era is lower than before";
  } else if (read.value() > era_) {
    era_ = read.value();
    era_since_ = loop_.timers().now();
    observation.era = era_;
    era_error_reported_ = false;
  } else {
    return;
  }
  if (!observation.error.empty() && std::exchange(era_error_reported_, true))
    return;
  if (on_era_) on_era_(observation);
}

void ObjectStore::List(const std::string& kind, Callback<ObjectPage> callback) {
  ContinueList(kind, {}, std::move(callback));
}

void ObjectStore::ContinueList(const std::string& kind, ListProgress list,
                               Callback<ObjectPage> callback) {
  ++counts_.reads;
  ExchangeRequest request = protocol_.list(kind, list.collected.next);
  request.timeout = call_timeout_;
  auto done = [this, kind, list = std::move(list),
               callback =
                   std::move(callback)](const ExchangeResult& result) mutable {
    ObjectPage& collected = list.collected;
    if (result.failure != ClientFailure::kNone) {
      // The store has responded to the pages before.
      const bool again =
          !collected.next.empty() && ++list.lost_responses <= kMaxLostResponses;
      if (again) {
        ContinueList(kind, std::move(list), std::move(callback));
      } else {
        callback(MakeFailure(result, false));
      }
      return;
    }
    Result<ObjectPage> page =
        ReadPage(kind, result.response, collected.store_revision);
    if (!page.has_value()) {
      callback(page.error());
      return;
    }
    list.lost_responses = 0;
    // The first page's revision: a watch from it reports every change that
    // later pages may lack.
    if (collected.store_revision == 0)
      collected.store_revision = page.value().store_revision;
    for (StoredObject& object : page.value().objects)
      collected.objects.push_back(std::move(object));
    collected.unreadable += page.value().unreadable;
    collected.next = collected.next == page.value().next
                         ? SkipReplacedBytes(std::move(page.value().next))
                         : std::move(page.value().next);
    if (collected.next.empty()) {
      callback(std::move(collected));
    } else if (!list.positions.insert(collected.next).second) {
      callback(MakeError(
          ErrorCode::kMalformed,
          "the pages of a list repeat after \"" + collected.next + "\""));
    } else {
      ContinueList(kind, std::move(list), std::move(callback));
    }
  };
  Start(std::move(request), false, std::move(done));
}

size_t ObjectStore::MaxContentBytes(const std::string& kind) const {
  const auto found = max_content_bytes_.find(kind);
  return found == max_content_bytes_.end() ? kMaxBodyBytes : found->second;
}

Result<ObjectPage> ObjectStore::ReadPage(const std::string& kind,
                                         const HttpResponse& response,
                                         uint64_t list_revision) const {
  BOOST_OUTCOME_TRY(page, protocol_.read_page(response, MaxContentBytes(kind)));
  BOOST_OUTCOME_TRY(era, ResponseEra(response));
  if (list_revision != 0 && EraOfRevision(list_revision) != era) {
    return MakeError(ErrorCode::kUnavailable,
                     "the store was restored between two pages of a list");
  }
  page.store_revision = MakeStoreRevision(era, page.store_revision);
  SetEra(page.objects, era);
  return page;
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
            callback(MakeFailure(result, false));
          } else {
            callback(ReadObject(result.response));
          }
        });
}

Result<StoredObject> ObjectStore::ReadObject(
    const HttpResponse& response) const {
  BOOST_OUTCOME_TRY(object, protocol_.read_object(response));
  BOOST_OUTCOME_TRY(era, ResponseEra(response));
  object.revision = MakeStoreRevision(era, object.revision);
  return object;
}

void ObjectStore::Write(ObjectWrite write, Callback<StoredObject> callback) {
  const uint64_t expected = write.expected_revision;
  // After a restore, the number may belong to another version of the object.
  const Error outdated = MakeError(
      ErrorCode::kConflict, "the store was restored since the object was read");
  if (expected != 0 && EraOfRevision(expected) != era_) {
    loop_.Post(
        [callback = std::move(callback), outdated] { callback(outdated); });
    return;
  }
  ++counts_.writes;
  write.expected_revision = CounterOfRevision(expected);
  ExchangeRequest request = protocol_.write(write);
  request.timeout = call_timeout_;
  Start(std::move(request), false,
        [this, expected, outdated,
         callback = std::move(callback)](const ExchangeResult& result) {
          if (result.failure != ClientFailure::kNone) {
            callback(MakeFailure(result, true));
            return;
          }
          Result<StoredObject> written = ReadObject(result.response);
          const bool restored = written.has_value() && expected != 0 &&
                                EraOfRevision(written.value().revision) !=
                                    EraOfRevision(expected);
          if (restored) {
            callback(outdated);
          } else {
            callback(std::move(written));
          }
        });
}

void ObjectStore::Watch(const std::string& kind, uint64_t revision,
                        Duration wait, Duration slack,
                        Callback<ObjectChanges> callback) {
  ++counts_.watches;
  ExchangeRequest request =
      protocol_.watch(kind, CounterOfRevision(revision), wait);
  request.timeout = wait + slack;
  Start(std::move(request), true,
        [this, kind, revision,
         callback = std::move(callback)](const ExchangeResult& result) {
          if (result.failure == ClientFailure::kTooLarge) {
            // The same watch would fail again. Pages of a list are limited.
            callback(MakeError(ErrorCode::kNotFound,
                               "the changes since that revision are too long"));
          } else if (result.failure != ClientFailure::kNone) {
            callback(MakeFailure(result, false));
          } else {
            callback(ReadChanges(kind, result.response, revision));
          }
        });
}

Result<ObjectChanges> ObjectStore::ReadChanges(const std::string& kind,
                                               const HttpResponse& response,
                                               uint64_t from) const {
  BOOST_OUTCOME_TRY(changes,
                    protocol_.read_changes(response, MaxContentBytes(kind)));
  BOOST_OUTCOME_TRY(era, ResponseEra(response));
  if (era != EraOfRevision(from)) {
    return MakeError(ErrorCode::kNotFound,
                     "the store was restored since that revision");
  }
  changes.store_revision = MakeStoreRevision(era, changes.store_revision);
  SetEra(changes.changes, era);
  return changes;
}

void ObjectStore::CancelWatches() {
  std::vector<std::unique_ptr<Call>> cancelled;
  for (auto position = calls_.begin(); position != calls_.end();) {
    const auto next = std::next(position);
    if ((*position)->is_watch) {
      cancelled.push_back(std::move(*position));
      calls_.erase(position);
    }
    position = next;
  }
  ExchangeResult result;
  result.failure = ClientFailure::kAborted;
  for (const auto& call : cancelled) {
    call->client->Abort();
    call->done(result);
  }
}

}  // namespace mimosadeal
