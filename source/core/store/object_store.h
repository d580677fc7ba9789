// The client of the platform's store. It makes each call once, with a timeout,
// and counts the calls, since the platform charges for them. Its revisions are
// those of store/store_revision.h.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/exchange_client.h"
#include "store/store_protocol.h"

namespace mimosadeal {

class EventLoop;

struct StoreCounts {
  uint64_t reads = 0;
  uint64_t watches = 0;
  uint64_t writes = 0;
  uint64_t failures = 0;
};

// What a response of the store showed about its era.
struct EraObservation {
  uint64_t era = 0;     // The newest known, this one included.
  uint64_t before = 0;  // The newest known before.
  std::string error;    // Why the response's own was not used; else empty.
};

enum class ReadConsistency : uint8_t {
  kNewest,
  kMayBeStale,  // The object may be seconds old; costs the platform less.
};

class ObjectStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  ObjectStore(EventLoop& loop, const SocketAddress& address,
              const StoreProtocol& protocol, Duration call_timeout);
  ~ObjectStore();
  ObjectStore(const ObjectStore&) = delete;
  ObjectStore& operator=(const ObjectStore&) = delete;

  // Objects of the kind with a longer content are listed and watched as
  // unreadable, so that another writer's do not take this host's memory.
  void LimitContent(const std::string& kind, size_t max_bytes) {
    max_content_bytes_[kind] = max_bytes;
  }
  // Lists all objects of a kind, over as many pages as needed.
  void List(const std::string& kind, Callback<ObjectPage> callback);
  void Get(const std::string& kind, const std::string& name,
           Callback<StoredObject> callback,
           ReadConsistency consistency = ReadConsistency::kNewest);
  // Errors: kConflict, also when the store was restored since the object was
  // read; kUnavailable when nothing was written; kUnknownOutcome when the write
  // may have taken effect or may still do so.
  void Write(ObjectWrite write, Callback<StoredObject> callback);
  // Waits up to `wait` for changes after `revision`. Errors: kNotFound when the
  // store no longer has the changes after `revision`, was restored since, or
  // sends more of them than this host takes; kUnavailable also when no response
  // has begun within `slack` after the wait.
  void Watch(const std::string& kind, uint64_t revision, Duration wait,
             Duration slack, Callback<ObjectChanges> callback);
  // Aborts the waiting watches; their callbacks get kUnavailable.
  void CancelWatches();

  // `handler` runs when a response shows a later era, or one that cannot be
  // used for the first time since.
  void SetEraHandler(std::function<void(const EraObservation&)> handler) {
    on_era_ = std::move(handler);
  }
  // How often the store was restored from a copy, as far as known.
  uint64_t era() const { return era_; }
  // When a response first showed that era; kNever if none showed one above 0.
  MonotonicTime era_since() const { return era_since_; }

  const StoreCounts& counts() const { return counts_; }

 private:
  struct Call;

  struct ListProgress {
    ObjectPage collected;
    std::set<std::string> positions;  // Those that pages began after.
    int lost_responses = 0;           // In a row, to the same page.
  };

  void Start(ExchangeRequest request, bool is_watch,
             std::function<void(const ExchangeResult&)> done);
  // Requests the page after those that the list has.
  void ContinueList(const std::string& kind, ListProgress list,
                    Callback<ObjectPage> callback);
  void NoteEra(const HttpResponse& response);
  // Returns the era of what the response says. Errors: kUnavailable if it is
  // earlier than the newest known.
  Result<uint64_t> ResponseEra(const HttpResponse& response) const;
  // `list_revision`: of the list's first page; 0 if this is the first.
  Result<ObjectPage> ReadPage(const std::string& kind,
                              const HttpResponse& response,
                              uint64_t list_revision) const;
  Result<StoredObject> ReadObject(const HttpResponse& response) const;
  // `from`: the revision of the watch.
  Result<ObjectChanges> ReadChanges(const std::string& kind,
                                    const HttpResponse& response,
                                    uint64_t from) const;
  size_t MaxContentBytes(const std::string& kind) const;
  // Returns a reusable idle connection, or a new one.
  std::unique_ptr<ExchangeClient> TakeConnection();

  EventLoop& loop_;
  SocketAddress address_;
  StoreProtocol protocol_;
  Duration call_timeout_;
  StoreCounts counts_;
  std::map<std::string, size_t> max_content_bytes_;  // By kind.
  uint64_t era_ = 0;  // Invariant: never decreases.
  MonotonicTime era_since_ = kNever;
  bool era_error_reported_ = false;
  std::function<void(const EraObservation&)> on_era_;
  std::list<std::unique_ptr<Call>> calls_;
  std::list<std::unique_ptr<ExchangeClient>> idle_;
};

}  // namespace mimosadeal
