// Tests of the ledger of non-idempotent requests.
#include "requests/ledger.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::seconds;

const auto kAll = [](const LedgerRecord&) { return true; };

TEST_GROUP(Ledger) {
  Ledger ledger{LedgerLimits{3, 10, seconds(60)}};
  MonotonicTime now{seconds(100)};

  LedgerBeginResult Begin(const std::string& id, uint64_t fingerprint = 1) {
    return ledger.Begin("yard", id, 5, fingerprint, now);
  }
};

TEST(Ledger, AnIdIsNewOnlyOnce) {
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kNew);
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kRunning);
  ledger.Finish("yard", "a", RequestOutcome::kRan, 201, "text/plain", "body");
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kFinished);
  CHECK_TRUE(Begin("a", 2) == LedgerBeginResult::kMismatch);
  const LedgerRecord* record = ledger.Find("yard", "a");
  LONGS_EQUAL(201, record->http_status);
  STRCMP_EQUAL("body", record->body.c_str());
}

TEST(Ledger, ABodyOverTheLimitIsNotStored) {
  Begin("a");
  ledger.Finish("yard", "a", RequestOutcome::kRan, 200, "text/plain",
                "more than ten bytes");
  CHECK_FALSE(ledger.Find("yard", "a")->body_kept);
  LONGS_EQUAL(0, ledger.Find("yard", "a")->body.size());
}

TEST(Ledger, RefusesNewIdsWhenFullUntilEntriesExpire) {
  Begin("a");
  Begin("b");
  Begin("c");
  CHECK_TRUE(Begin("d") == LedgerBeginResult::kFull);
  now += seconds(61);
  ledger.Expire(now);
  CHECK_TRUE(Begin("d") == LedgerBeginResult::kNew);
}

TEST(Ledger, UnfinishedRequestsHaveAnUnknownOutcomeAfterImport) {
  Begin("a");
  Begin("b");
  ledger.Finish("yard", "b", RequestOutcome::kRan, 200, "", "");
  Ledger importer(LedgerLimits{10, 10, seconds(60)});
  importer.Import(ledger.Export(kAll, now), now);
  LONGS_EQUAL(static_cast<int>(RequestOutcome::kUnknown),
              importer.Find("yard", "a")->outcome);
  LONGS_EQUAL(static_cast<int>(RequestOutcome::kRan),
              importer.Find("yard", "b")->outcome);
}

TEST(Ledger, AnIdThatWasNotRunIsNewAfterImport) {
  LedgerRecord record;
  record.service = "yard";
  record.id = "a";
  record.finished = true;
  record.outcome = static_cast<uint8_t>(RequestOutcome::kNotRun);
  ledger.Import({record}, now);
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kNew);
}

TEST(Ledger, AnImportDoesNotChangeRunningRequests) {
  Begin("a");
  LedgerRecord record = *ledger.Find("yard", "a");
  record.finished = true;
  ledger.Import({record}, now);
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kRunning);
}

TEST(Ledger, ExportAndImportKeepTheAgeOfEntries) {
  Begin("a");
  ledger.Finish("yard", "a", RequestOutcome::kRan, 200, "", "");
  now += seconds(50);
  Ledger importer(LedgerLimits{10, 10, seconds(60)});
  importer.Import(ledger.Export(kAll, now), now);
  now += seconds(11);
  importer.Expire(now);
  LONGS_EQUAL(0, importer.size());
}

}  // namespace
}  // namespace mimosadeal
