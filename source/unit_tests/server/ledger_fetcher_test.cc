#include "server/ledger_fetcher.h"

#include <CppUTest/TestHarness.h>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

const SocketAddress kAddress = {"127.0.0.1", 18932};
constexpr char kPeerAddress[] = "127.0.0.1:18933";

// A shard whose upstream this host, "a", dispatches to; `former` did before.
OwnershipTable MakeTable(uint64_t sequence, uint16_t former) {
  OwnershipTable table;
  table.version = {1, sequence};
  table.hosts = {{"a", kAddress.ToString(), "", true},
                 {"b", kPeerAddress, "", true}};
  table.upstreams = {{"u", "yard", "127.0.0.1:1", "a", "a", ""}};
  table.services = {{"yard", {0}, {0}, {former}}};
  return table;
}

TEST_GROUP(LedgerFetcher) {
  EventLoop loop{{64, 16, 8192}};
  std::unique_ptr<InnerTransport> transport;
  std::unique_ptr<Ledger> ledger;
  std::unique_ptr<LedgerFetcher> fetcher;

  void setup() override {
    InnerTransportOptions options;
    options.address = kAddress;
    options.limits = {1024, 64 * 1024};
    auto made =
        InnerTransport::Listen(loop, options,
                               {[](ConnectionId, const Frame&) {},
                                [](const Frame&) {}, [](ConnectionId) {}});
    CHECK(made.has_value());
    transport = std::move(made.value());
    ledger = std::make_unique<Ledger>(LedgerLimits{});
    fetcher = std::make_unique<LedgerFetcher>(
        loop, *transport, *ledger,
        LedgerFetcherOptions{"a", std::chrono::seconds(1),
                             std::chrono::minutes(10)},
        [] {});
  }

  LedgerReadiness Readiness() {
    return fetcher->ReadinessOf("yard", 0, loop.timers().now());
  }
};

// Another dispatcher may have run requests meanwhile. The host took its shards
// for ready, and a request ran twice.
TEST(LedgerFetcher, AShardIsFetchedAgainIfTablesMayHaveBeenMissed) {
  fetcher->OnTable(MakeTable(1, kNoHost), false);
  CHECK(Readiness() == LedgerReadiness::kReady);
  fetcher->OnTable(MakeTable(4, 1), true);
  CHECK(Readiness() == LedgerReadiness::kFetching);
}

TEST(LedgerFetcher, AShardIsFetchedOnceWhileTheLeaseLasts) {
  fetcher->OnTable(MakeTable(1, 1), false);
  CHECK(Readiness() == LedgerReadiness::kFetching);
  LedgerEntries entries;
  entries.fetch = 1;
  entries.complete = true;
  fetcher->OnEntries(entries);
  CHECK(Readiness() == LedgerReadiness::kReady);
  fetcher->OnTable(MakeTable(2, 1), false);
  CHECK(Readiness() == LedgerReadiness::kReady);
}

// The host was the last dispatcher itself.
TEST(LedgerFetcher, AShardThatNoOtherHostServedIsReady) {
  fetcher->OnTable(MakeTable(1, kNoHost), false);
  fetcher->OnTable(MakeTable(4, 0), true);
  CHECK(Readiness() == LedgerReadiness::kReady);
}

}  // namespace
}  // namespace mimosadeal
