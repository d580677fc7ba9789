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

TEST(Ledger, AnIdIsNewOnce) {
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kNew);
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kRunning);
  ledger.Finish("yard", "a", RequestOutcome::kRan, 201, "text/plain", "body");
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kFinished);
  CHECK_TRUE(Begin("a", 2) == LedgerBeginResult::kMismatch);
  const LedgerRecord* record = ledger.Find("yard", "a");
  LONGS_EQUAL(201, record->http_status);
  STRCMP_EQUAL("body", record->body.c_str());
}

TEST(Ledger, ALongBodyIsNotKept) {
  Begin("a");
  ledger.Finish("yard", "a", RequestOutcome::kRan, 200, "text/plain",
                "more than ten bytes");
  CHECK_FALSE(ledger.Find("yard", "a")->body_kept);
  LONGS_EQUAL(0, ledger.Find("yard", "a")->body.size());
}

TEST(Ledger, RefusesNewIdsWhenFullAndTakesThemAfterTheirRetention) {
  Begin("a");
  Begin("b");
  Begin("c");
  CHECK_TRUE(Begin("d") == LedgerBeginResult::kFull);
  now += seconds(61);
  ledger.Expire(now);
  CHECK_TRUE(Begin("d") == LedgerBeginResult::kNew);
}

TEST(Ledger, WhatWasNotFinishedIsUnknownToTheNextDispatcher) {
  Begin("a");
  Begin("b");
  ledger.Finish("yard", "b", RequestOutcome::kRan, 200, "", "");
  Ledger next(LedgerLimits{10, 10, seconds(60)});
  next.Import(ledger.Export(kAll, now), now);
  LONGS_EQUAL(static_cast<int>(RequestOutcome::kUnknown),
              next.Find("yard", "a")->outcome);
  LONGS_EQUAL(static_cast<int>(RequestOutcome::kRan),
              next.Find("yard", "b")->outcome);
}

TEST(Ledger, AnIdThatWasNotRunIsAsGoodAsNewToTheNextDispatcher) {
  LedgerRecord record;
  record.service = "yard";
  record.id = "a";
  record.finished = true;
  record.outcome = static_cast<uint8_t>(RequestOutcome::kNotRun);
  ledger.Import({record}, now);
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kNew);
}

TEST(Ledger, AnImportDoesNotTouchWhatRunsHere) {
  Begin("a");
  LedgerRecord record = *ledger.Find("yard", "a");
  record.finished = true;
  ledger.Import({record}, now);
  CHECK_TRUE(Begin("a") == LedgerBeginResult::kRunning);
}

TEST(Ledger, AnEntrysAgeTravelsWithIt) {
  Begin("a");
  ledger.Finish("yard", "a", RequestOutcome::kRan, 200, "", "");
  now += seconds(50);
  Ledger next(LedgerLimits{10, 10, seconds(60)});
  next.Import(ledger.Export(kAll, now), now);
  now += seconds(11);
  next.Expire(now);
  LONGS_EQUAL(0, next.size());
}

}  // namespace
}  // namespace mimosadeal
