// Stand-in for the platform's object store: objects with revisions, conditional
// writes, lists and watches. Tests can inject faults.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "common/boot_clock.h"
#include "common/error.h"
#include "net/exchange_server.h"

namespace mimosadeal {

class EventLoop;

struct StoreFaults {
  // Accepts requests and never responds.
  bool silent = false;
  // Responds 503 and does nothing else.
  bool refuse = false;
  // This many writes take effect, but get no response.
  int lose_write_responses = 0;
  // This many writes take effect only `late_write_delay` after their arrival,
  // if their condition still holds then, and get no response.
  int late_writes = 0;
  Duration late_write_delay{};
  // Time from the arrival of a request to its effect.
  Duration delay{};
  // A watch's response has at most this many events; the next watch gets the
  // others. 0 for no limit.
  size_t max_watch_events = 0;
  // A page of a list has at most this many objects.
  size_t max_page_objects = 500;
  // Every list response whose number is a multiple of this is lost; 0 for none.
  uint64_t lost_list_interval = 0;
  // Names that are put from then on are sent byte by byte, whether they are
  // UTF-8 or not. Otherwise U+FFFD replaces the bytes that are not.
  bool raw_names = false;
  // Lists and watches of this kind get a response without their members.
  std::string malformed_kind;
  // The next watch of this kind gets no response, and its connection stays
  // open. Empty for none; cleared when the watch arrives.
  std::string watch_to_lose;
  // The response to this one of the next calls, counted from 1, is lost in the
  // same way after the call has taken effect. 0 for none; counted down.
  int call_to_lose = 0;
};

class DeploymentStore {
 public:
  // Errors: kIo when the address cannot be listened on.
  static Result<std::unique_ptr<DeploymentStore>> Start(
      EventLoop& loop, const SocketAddress& address);
  ~DeploymentStore();
  DeploymentStore(const DeploymentStore&) = delete;
  DeploymentStore& operator=(const DeploymentStore&) = delete;

  // Change an object without a request, in place of an operator or an upstream.
  void Put(const std::string& kind, const std::string& name,
           nlohmann::json spec);
  void Remove(const std::string& kind, const std::string& name);
  // Returns null when there is no such object.
  const nlohmann::json* Find(const std::string& kind,
                             const std::string& name) const;
  // Makes earlier revisions unavailable: a watch that starts before the current
  // revision gets 410.
  void Compact() { oldest_revision_ = revision_; }
  // Closes the connections of all waiting watches without a response.
  void CancelWatches();
  // The watches that are waiting get no response, and their connections stay
  // open.
  void LoseWaitingWatches();
  // Takes a copy of all objects and of the revision.
  void TakeCopy();
  // Replaces the objects and the revision by those of the copy, and increments
  // the era. Revisions are then assigned a second time.
  void RestoreCopy();
  // Writes again what operators and upstreams wrote between the last TakeCopy
  // and RestoreCopy. What hosts wrote is lost.
  void RewriteLost();

  StoreFaults& faults() { return faults_; }
  uint64_t calls() const { return calls_; }
  uint64_t writes() const { return writes_; }
  // Calls for one object whose name a server or proxy may read as another place
  // of the path: empty, "." or "..", or with a "/".
  uint64_t misplaced_calls() const { return misplaced_calls_; }
  // Number of calls whose responses were lost on a connection that stays open.
  uint64_t lost_responses() const { return lost_responses_; }

 private:
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool removed = false;
  };
  struct Watch {
    ExchangeId exchange = 0;
    std::string kind;
    uint64_t revision = 0;
    MonotonicTime until = kForever;
  };

  using Objects = std::map<std::string, std::map<std::string, nlohmann::json>>;

  explicit DeploymentStore(EventLoop& loop) : loop_(loop) {}
  void OnRequest(ExchangeId id, const HttpRequest& request);
  void Handle(ExchangeId id, const HttpRequest& request);
  void OnRead(ExchangeId id, const std::string& kind, const std::string& name,
              const std::map<std::string, std::string>& query);
  void OnWrite(ExchangeId id, const HttpRequest& request,
               const std::string& kind, std::string name);
  // Carries out a write without a response after the delay.
  void WriteLate(const HttpRequest& request, const std::string& kind,
                 const std::string& name);
  // Adds the change to the history and responds to the watches that wait for
  // it.
  void NotifyWatches(const std::string& kind, const nlohmann::json& object,
                     bool removed);
  // Responds with the objects whose names follow `after`, as many as a page
  // has.
  void OnList(ExchangeId id, const std::string& kind, const std::string& after);
  // Returns whether it responded: if the watch has events, or if it timed out.
  bool RespondToWatch(const Watch& watch, bool timed_out);
  void Respond(ExchangeId id, int status, const nlohmann::json& body);
  void LoseResponse(ExchangeId id);
  void ExpireWatches();

  EventLoop& loop_;
  std::unique_ptr<ExchangeServer> server_;
  uint64_t timer_ = 0;
  StoreFaults faults_;
  uint64_t revision_ = 1;
  uint64_t oldest_revision_ = 0;
  uint64_t calls_ = 0;
  uint64_t writes_ = 0;
  uint64_t misplaced_calls_ = 0;
  uint64_t lists_ = 0;
  uint64_t era_ = 1;  // Incremented by each restore.
  Objects objects_;
  Objects copy_;
  uint64_t copy_revision_ = 0;
  Objects lost_;  // The objects before the last restore.
  std::list<Event> history_;
  std::list<Watch> watches_;
  // Calls whose responses are lost.
  std::set<ExchangeId> unanswered_;
  uint64_t lost_responses_ = 0;
  // Expires with this object, so that timers that fire later do not use it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace mimosadeal
