// The part of DeploymentView that keeps the range tables: those read from the
// store, the steps from one to the next, and those from before a restore.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "store/store_revision.h"

namespace mimosadeal {

const RangeTable* DeploymentView::table(const std::string& service) const {
  const auto found = range_tables_.find(service);
  return found == range_tables_.end() ? nullptr : &found->second;
}

void DeploymentView::OnTable(const StoredObject& object) {
  const RangeTable* existing = table(object.name);
  if (object.deleted ||
      (existing != nullptr && existing->revision >= object.revision))
    return;
  auto read = ReadTable(object);
  if (!read.has_value()) {
    ++unreadable_objects_;
    log_.LogStateChange("range-table.unreadable",
                        {{"service", object.name},
                         {"revision", object.revision},
                         {"reason", read.error().message}});
    return;
  }
  ApplyTable(std::move(read.value()));
}

Result<RangeTable> DeploymentView::ReadTable(const StoredObject& object) const {
  const auto base = StepBase(object.content);
  if (!base.has_value())
    return DecodeRangeTable(object.name, object.revision, object.content);
  const RangeTable* before = table(object.name);
  if (before == nullptr || before->revision < *base) {
    return MakeError(ErrorCode::kMalformed,
                     "base table of the table step is missing");
  }
  BOOST_OUTCOME_TRY(step, DecodeRangeTableStep(object.content));
  return ApplyStep(*before, step, object.revision);
}

void DeploymentView::ApplyTable(RangeTable table) {
  RangeTable& existing = range_tables_[table.service];
  uint64_t& stored_revision = stored_revisions_[table.service];
  stored_revision = std::max(stored_revision, table.revision);
  if (existing.revision >= table.revision) return;
  if (existing.revision != 0 &&
      EraOfRevision(existing.revision) != EraOfRevision(table.revision)) {
    tables_before_restore_[table.service] = existing;
    // Each write of a table raises the generation.
    if (table.last_generation < existing.last_generation) {
      log_.LogStateChange("range-table.restored-copy",
                          {{"service", table.service},
                           {"revision", table.revision},
                           {"generation", table.last_generation},
                           {"known_generation", existing.last_generation}});
      Notify();
      return;
    }
  }
  existing = std::move(table);
  log_.LogStateChange(
      "range-table.in-force",
      {{"service", existing.service},
       {"revision", existing.revision},
       {"ranges", static_cast<uint64_t>(existing.ranges.size())}});
  Notify();
}

uint64_t DeploymentView::stored_revision(const std::string& service) const {
  const auto found = stored_revisions_.find(service);
  return found == stored_revisions_.end() ? 0 : found->second;
}

const RangeTable* DeploymentView::table_before_restore(
    const std::string& service) const {
  const auto found = tables_before_restore_.find(service);
  return found == tables_before_restore_.end() ? nullptr : &found->second;
}

}  // namespace mimosadeal
