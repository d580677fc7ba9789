#include "entry_fixture.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <fstream>
#include <set>
#include <sstream>

#include "ranges/range_table.h"

namespace mimosadeal {
namespace {

constexpr HttpMessageLimits kTextLimits = {64 * 1024, 8 * 1024 * 1024};
constexpr int kStoreNetwork = 5;
constexpr int kUpstreamNetwork = 6;
constexpr int kHostNetwork = 7;
// Added to a host's number for the network of its links to upstreams.
constexpr int kUpstreamLinkNetwork = 20;
constexpr uint16_t kStorePort = 18400;
// Added to a host's number, which starts at 1, for the address of its link to
// the store.
constexpr int kStoreLinkOffset = 10;
constexpr uint64_t kLinkSeed = 1;
constexpr uint16_t kUpstreamPort = 18401;
// Checking every 64th key is enough to find a range that is not held.
constexpr int kKeyStep = 64;
// Twenty-one hosts keep up to six connections to each of 29 upstreams, and a
// crowd has up to 1,100 callers.
constexpr unsigned kMaxDescriptors = 4096;
constexpr int kKeys = 65536;
constexpr Duration kStartLimit = std::chrono::seconds(15);

// Returns the number of a loopback network that no other process of this
// program uses, because test groups run in parallel as separate processes.
int ReserveNetwork() {
  constexpr int first = 64;
  constexpr int count = 160;
  for (int i = 0; i < count; ++i) {
    const int number = first + static_cast<int>((getpid() + i) % count);
    const std::string path =
        "/tmp/mimosadeal-network-" + std::to_string(number);
    // Stays open, and so locked, until this process and the hosts that it
    // started, which inherit it, have exited.
    const int fd = open(path.c_str(), O_CREAT | O_RDWR, 0600);
    if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0) return number;
    if (fd >= 0) close(fd);
  }
  return first;
}

std::string Address(int network, int number) {
  static const int reserved = ReserveNetwork();
  return "127." + std::to_string(reserved) + "." + std::to_string(network) +
         "." + std::to_string(number);
}

std::string MakeDirectory() {
  std::string name = "/tmp/mimosadeal-entry-XXXXXX";
  return mkdtemp(name.data()) == nullptr ? "/tmp" : name;
}

}  // namespace

EntryFixture::EntryFixture()
    : loop({kMaxDescriptors, 64, 8192}),
      directory_(MakeDirectory()),
      store_address_{Address(kStoreNetwork, 1), kStorePort} {
  auto made = DeploymentStore::Start(loop, store_address_);
  CHECK(made.has_value());
  store = std::move(made.value());
}

EntryFixture::~EntryFixture() {
  hosts.clear();
  upstreams.clear();
  DeploymentUpstream::SetPeers({});
}

nlohmann::json EntryFixture::Configuration(int version) const {
  const auto route = [](const char* name, const char* prefix, const char* kind,
                        const char* service) {
    return nlohmann::json{
        {"name", name},        {"pathPrefix", prefix},     {"kind", kind},
        {"timeout", "1500ms"}, {"targetLatency", "600ms"}, {"priority", 1},
        {"maxAttempts", 2},    {"service", service}};
  };
  nlohmann::json yard = {{"name", "yard"},
                         {"healthPath", "/health"},
                         {"maxConnections", 100},
                         {"sharded", true},
                         {"warm", "1s"}};
  nlohmann::json desk = {
      {"name", "desk"}, {"healthPath", "/health"}, {"maxConnections", 100}};
  if (cold_rate > 0) {
    for (nlohmann::json* service : {&yard, &desk}) {
      (*service)["warmup"] = "3s";
      (*service)["warmupPerS"] = cold_rate;
    }
  }
  return {{"version", "r" + std::to_string(version)},
          {"services", {yard, desk}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 1048576},
            {"headerTimeout", "3000ms"},
            {"idleTimeout", "15000ms"}}},
          {"virtualHosts",
           {{{"host", "lots.example"},
             {"paths",
              {route("lookup", "/lookup/", "safe", "yard"),
               route("hold", "/hold/", "unsafe", "yard"),
               route("charge", "/charge/", "unsafe", "desk"),
               route("price", "/price/", "safe", "desk")}}}}}};
}

DeploymentUpstream& EntryFixture::AddUpstream(const std::string& id,
                                              const std::string& service,
                                              const std::string& zone,
                                              int index) {
  return StartUpstream(id, service, zone, index, {}, {});
}

DeploymentUpstream& EntryFixture::AddColdUpstream(const std::string& id,
                                                  const std::string& service,
                                                  const std::string& zone,
                                                  int index,
                                                  Duration report_delay) {
  return StartUpstream(id, service, zone, index, kColdTime, report_delay);
}

DeploymentUpstream& EntryFixture::StartUpstream(const std::string& id,
                                                const std::string& service,
                                                const std::string& zone,
                                                int index, Duration cold_time,
                                                Duration report_delay) {
  DeploymentUpstreamOptions options;
  options.id = id;
  options.service = service;
  options.zone = zone;
  options.cold_time = cold_time;
  options.report_delay = report_delay;
  return AddUpstream(std::move(options), index);
}

DeploymentUpstream& EntryFixture::AddUpstream(DeploymentUpstreamOptions options,
                                              int index) {
  const std::string id = options.id;
  options.address = {Address(kUpstreamNetwork, index), kUpstreamPort};
  options.keyed = options.service == "yard";
  if (cold_rate > 0)
    options.cold_allowed = cold_rate * kColdRatio + kColdAllowance;
  auto made = DeploymentUpstream::Start(loop, *store, record, options);
  CHECK(made.has_value());
  upstreams[id] = std::move(made.value());
  UpdatePeers();
  return *upstreams[id];
}

void EntryFixture::CrashUpstream(const std::string& id) {
  upstreams.erase(id);
  UpdatePeers();
  // The loop's next iterations close the sockets.
  RunFor(std::chrono::milliseconds(30));
}

void EntryFixture::UpdatePeers() {
  std::vector<DeploymentUpstream*> all;
  for (const auto& [id, upstream] : upstreams) all.push_back(upstream.get());
  DeploymentUpstream::SetPeers(std::move(all));
}

EntryProcess& EntryFixture::AddHost(const std::string& name,
                                    const std::string& zone) {
  std::unique_ptr<EntryProcess>& host = hosts[name];
  if (host == nullptr) {
    const std::string ip = Address(kHostNetwork, ++next_host_);
    host = std::make_unique<EntryProcess>();
    host->name = name;
    host->zone = zone;
    host->callers = {ip, 18410};
    host->readiness = {ip, 18411};
    host->operators = {ip, 18412};
    const SocketAddress link_address = {
        Address(kStoreNetwork, kStoreLinkOffset + next_host_), kStorePort};
    auto link = FaultLink::Open(loop, link_address, store_address_, kLinkSeed);
    CHECK(link.has_value());
    host->store_link = std::move(link.value());
    host->settings_path = directory_ + "/" + name + ".toml";
    std::ofstream settings(host->settings_path);
    settings << "[host]\nid = \"" << name << "\"\nzone = \"" << zone
             << "\"\ngroup = \"" << zone << "\"\n[listen]\ncallers = \""
             << host->callers.ToString() << "\"\nreadiness = \""
             << host->readiness.ToString() << "\"\noperators = \""
             << host->operators.ToString() << "\"\ninner = \"" << ip
             << ":18413\"\n[platform]\nprotocol = \"object-store\"\n"
             << "address = \"" << link_address.ToString() << "\"\n"
             << "bounds = \"drain=2000ms,grace=6s,holdMax=10000ms,"
             << "budgetSlack=100,retryBudgetRatio=0.2,budgetWindow=10s"
             << extra_bounds
             << (cold_rate > 0 ? ",coldOver=1.5,coldSlack=8" : "") << "\"\n"
             << "[log]\nlines_per_second = 1000\n"
             << (link_upstreams ? LinkUpstreams(*host) : "")
             << extra_settings[name];
  }
  host->process =
      ChildProcess(MIMOSADEAL_DAEMON, {"--settings", host->settings_path},
                   directory_ + "/" + name + ".log");
  return *host;
}

void EntryFixture::SetStorePartition(const std::string& host,
                                     bool partitioned) {
  LinkFaults faults;
  faults.cut_forward = partitioned;
  faults.cut_backward = partitioned;
  hosts.at(host)->store_link->SetFaults(faults);
}

std::string EntryFixture::LinkUpstreams(EntryProcess& host) {
  std::ostringstream settings;
  settings << "[routes]\n";
  int number = 0;
  for (const auto& [id, upstream] : upstreams) {
    const SocketAddress& target = upstream->options().address;
    const SocketAddress address = {
        Address(kUpstreamLinkNetwork + next_host_, ++number), kUpstreamPort};
    auto link = FaultLink::Open(loop, address, target, kLinkSeed);
    CHECK(link.has_value());
    host.upstream_links[id] = std::move(link.value());
    settings << "\"" << target.ToString() << "\" = \"" << address.ToString()
             << "\"\n";
  }
  return settings.str();
}

void EntryFixture::SetUpstreamPartition(const std::string& host,
                                        UpstreamCut cut) {
  LinkFaults faults;
  faults.cut_forward = cut == UpstreamCut::kSilent;
  faults.cut_backward = cut == UpstreamCut::kSilent;
  faults.reset_open = cut == UpstreamCut::kRefused;
  if (cut == UpstreamCut::kSilent) {
    faults.connecting = LinkConnecting::kUnanswered;
  } else if (cut != UpstreamCut::kNone) {
    faults.connecting = LinkConnecting::kRefused;
  }
  for (const auto& [id, link] : hosts.at(host)->upstream_links)
    link->SetFaults(faults);
}

std::string EntryFixture::LeaseHolder(const std::string& zone) const {
  const nlohmann::json* lease = store->Find("zone-leases", zone);
  return lease == nullptr ? std::string()
                          : (*lease)["spec"]["holder"].get<std::string>();
}

void EntryFixture::StartDefaultDeployment(int count) {
  AddDefaultUpstreams();
  StartHosts(count);
}

void EntryFixture::StartWithManyRanges(int count) {
  constexpr int owners = 4;
  AddDefaultUpstreams();
  RangeTable table;
  for (int first = 0; first <= kLastKey; first += kKeysOfManyRanges) {
    const int owner = first / kKeysOfManyRanges % owners + 1;
    const DeploymentUpstream& upstream =
        *upstreams.at("yard-" + std::to_string(owner));
    KeyRange range;
    range.first = first;
    range.last = first + kKeysOfManyRanges - 1;
    range.owner = upstream.options().id;
    range.owner_incarnation = upstream.incarnation();
    range.zone = upstream.options().zone;
    range.generation = ++table.last_generation;
    table.ranges.push_back(range);
  }
  store->Put("range-tables", "yard", EncodeRangeTable(table));
  StartHosts(count);
}

void EntryFixture::AddDefaultUpstreams() {
  store->Put("config", "main", Configuration(1));
  for (int i = 1; i <= 4; ++i) {
    AddUpstream("yard-" + std::to_string(i), "yard", i <= 2 ? "north" : "south",
                i);
  }
  AddUpstream("desk-1", "desk", "north", 5);
  AddUpstream("desk-2", "desk", "south", 6);
}

void EntryFixture::StartHosts(int count) {
  for (int i = 1; i <= count; ++i)
    AddHost("host-" + std::to_string(i), i % 2 == 1 ? "north" : "south");
  CHECK(RunUntil([this] { return EveryKeyIsHeld(); }, kStartLimit));
  for (const auto& [name, host] : hosts)
    CHECK(RunUntil([&] { return Ready(*host); }, kStartLimit));
}

bool EntryFixture::RunUntil(const std::function<bool()>& done, Duration limit) {
  const MonotonicTime end = loop.timers().now() + limit;
  // Wakes the loop regularly, so that conditions on time are evaluated.
  const TimerId tick =
      loop.timers().Every(std::chrono::milliseconds(10), [] {});
  bool is_done = done();
  while (!is_done && loop.timers().now() < end) {
    loop.RunOnce();
    is_done = done();
  }
  loop.timers().Cancel(tick);
  return is_done;
}

void EntryFixture::RunFor(Duration time) {
  RunUntil([] { return false; }, time);
}

std::shared_ptr<CallerResponse> EntryFixture::Start(const EntryProcess& host,
                                                    const std::string& method,
                                                    const std::string& target,
                                                    int key,
                                                    const std::string& body,
                                                    Duration deadline) {
  auto caller_response = std::make_shared<CallerResponse>();
  last_request_id = "request-" + std::to_string(++next_request_);
  ExchangeRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.timeout = deadline;
  request.headers = {
      {"host", "lots.example"},
      {"x-request-id", last_request_id},
      {"x-request-deadline-ms", std::to_string(ToMilliseconds(deadline))}};
  if (key >= 0) request.headers.push_back({"x-shard-key", std::to_string(key)});
  std::erase_if(clients_, [](const auto& client) { return !client->busy(); });
  clients_.push_back(
      std::make_unique<ExchangeClient>(loop, host.callers, kTextLimits));
  clients_.back()->Start(
      std::move(request), [caller_response](ExchangeResult result) {
        caller_response->received = result.failure == ClientFailure::kNone;
        caller_response->status = result.response.status;
        caller_response->headers = std::move(result.response.headers);
        caller_response->body = std::move(result.response.body);
        if (!caller_response->received) caller_response->status = -1;
      });
  return caller_response;
}

CallerResponse EntryFixture::SendAndWait(const EntryProcess& host,
                                         const std::string& method,
                                         const std::string& target, int key,
                                         const std::string& body,
                                         Duration deadline) {
  const auto caller_response = Start(host, method, target, key, body, deadline);
  RunUntil([&] { return caller_response->status != 0; },
           deadline + std::chrono::seconds(1));
  return *caller_response;
}

void EntryFixture::AbortLastRequest() { clients_.back()->Abort(); }

bool EntryFixture::Ready(const EntryProcess& host) {
  ExchangeClient client(loop, host.readiness, kTextLimits);
  ExchangeRequest request;
  request.method = "GET";
  request.target = "/mimosadeal/ready";
  request.headers = {{"host", "probe"}};
  request.timeout = std::chrono::milliseconds(500);
  int status = 0;
  client.Start(std::move(request), [&status](ExchangeResult result) {
    status =
        result.failure == ClientFailure::kNone ? result.response.status : -1;
  });
  RunUntil([&status] { return status != 0; }, std::chrono::seconds(1));
  return status == 200;
}

bool EntryFixture::EveryKeyIsHeld() const {
  for (int key = 0; key < kKeys; key += kKeyStep) {
    bool held = false;
    for (const auto& [id, upstream] : upstreams)
      held = held || (upstream->options().keyed && upstream->Holds(key));
    if (!held) return false;
  }
  return true;
}

std::string EntryFixture::HostLog(const std::string& name) const {
  std::ifstream file(directory_ + "/" + name + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void EntryFixture::CheckRecord() {
  for (const std::string& violation : record.violations)
    FAIL(violation.c_str());
  std::map<std::string, int> begun;
  for (const UpstreamRun& run : record.runs) {
    if (run.began_at == kNever || run.method == "GET") continue;
    LONGS_EQUAL_TEXT(1, ++begun[run.request_id], run.request_id.c_str());
  }
}

EntryProcess& EntryTest::Host(int index) {
  return *fixture.hosts.at("host-" + std::to_string(index));
}

int EntryTest::OwnedKey(const std::string& upstream) {
  for (int key = 0; key < 65536; key += 16) {
    if (fixture.upstreams.at(upstream)->Holds(key)) return key;
  }
  return -1;
}

size_t EntryTest::RunCount(const std::string& id) {
  return static_cast<size_t>(
      std::count_if(fixture.record.runs.begin(), fixture.record.runs.end(),
                    [&id](const UpstreamRun& run) {
                      return run.request_id == id && run.began_at != kNever;
                    }));
}

void EntryTest::CheckServed(const CallerResponse& caller_response) {
  LONGS_EQUAL(200, caller_response.status);
  CHECK(FindHeader(caller_response.headers, "x-request-id") ==
        fixture.last_request_id);
  CHECK(FindHeader(caller_response.headers, "x-response-signature") ==
        "s-" + fixture.last_request_id);
}

void EntryTest::PutNewRoute(int version) {
  nlohmann::json newer = fixture.Configuration(version);
  newer["virtualHosts"][0]["paths"][3]["pathPrefix"] = "/newer/";
  fixture.store->Put("config", "main", newer);
}

int EntryTest::CountFailures(const std::string& method,
                             const std::string& prefix) {
  std::vector<std::shared_ptr<CallerResponse>> caller_responses;
  std::vector<std::string> requests;
  int key = 500;
  for (const auto& [name, host] : fixture.hosts) {
    for (int i = 0; i < 6; ++i) {
      key = (key + 11003) % 65536;
      caller_responses.push_back(
          fixture.Start(*host, method, prefix + "x", key));
      requests.push_back(fixture.last_request_id + " at " + name + ", key " +
                         std::to_string(key));
    }
  }
  fixture.RunUntil(
      [&] {
        return std::all_of(caller_responses.begin(), caller_responses.end(),
                           [](const auto& a) { return a->status != 0; });
      },
      std::chrono::seconds(4));
  // Keeps the load low, so that no key moves to balance it.
  fixture.RunFor(std::chrono::milliseconds(200));
  int failures = 0;
  for (size_t i = 0; i < caller_responses.size(); ++i) {
    if (caller_responses[i]->status == 200) continue;
    NoteFailure(method + " " + prefix + "x, " + requests[i],
                *caller_responses[i]);
    ++failures;
  }
  return failures;
}

void EntryTest::NoteFailure(const std::string& request,
                            const CallerResponse& caller_response) {
  failed_requests.push_back(request + ": " +
                            std::to_string(caller_response.status) + " " +
                            caller_response.body);
}

}  // namespace mimosadeal
