#include "execution_record.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace mimosadeal {
namespace {

bool TookEffect(const Execution& execution) {
  return execution.end == Execution::End::kDone;
}

// An execution that a crash interrupted may have taken effect.
bool MayHaveRun(const Execution& execution) {
  return execution.end == Execution::End::kDone ||
         execution.end == Execution::End::kNone;
}

void ApplyEvent(const std::string& event, const Execution& read, int64_t at_ns,
                std::map<std::string, Execution>& by_id) {
  if (event == "start") {
    Execution& execution = by_id[read.request_id];
    execution = read;
    execution.started_ns = at_ns;
    return;
  }
  const auto found = by_id.find(read.request_id);
  if (found == by_id.end()) return;
  found->second.ended_ns = at_ns;
  if (event == "end") found->second.end = Execution::End::kDone;
  if (event == "aborted") found->second.end = Execution::End::kAborted;
  if (event == "cancelled") found->second.end = Execution::End::kCancelled;
}

std::map<std::string, int> CountPossibleRuns(
    const std::vector<Execution>& executions) {
  std::map<std::string, int> runs;
  for (const Execution& execution : executions) {
    if (!execution.key.empty() && MayHaveRun(execution)) ++runs[execution.key];
  }
  return runs;
}

}  // namespace

std::vector<Execution> ReadExecutions(const std::vector<std::string>& paths) {
  std::vector<Execution> executions;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    std::map<std::string, Execution> by_id;
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream fields(line);
      std::string event;
      std::string holder;
      int64_t at_ns = 0;
      Execution read;
      if (!(fields >> event >> read.upstream >> read.shard >> read.request_id >>
            read.key >> holder >> at_ns))
        continue;
      if (read.key == "-") read.key.clear();
      ApplyEvent(event, read, at_ns, by_id);
    }
    for (auto& [id, execution] : by_id)
      executions.push_back(std::move(execution));
  }
  return executions;
}

std::vector<std::string> FindSharedOwnership(
    std::vector<Execution> executions) {
  std::vector<std::string> violations;
  std::map<uint32_t, std::vector<Execution>> by_shard;
  for (Execution& execution : executions) {
    if (TookEffect(execution))
      by_shard[execution.shard].push_back(std::move(execution));
  }
  for (auto& [shard, list] : by_shard) {
    std::sort(list.begin(), list.end(),
              [](const Execution& a, const Execution& b) {
                return a.started_ns < b.started_ns;
              });
    // Latest end so far, by upstream. An execution at another upstream must not
    // start before it.
    std::map<std::string, int64_t> latest_end;
    for (const Execution& execution : list) {
      for (const auto& [upstream, ended_ns] : latest_end) {
        if (upstream == execution.upstream || ended_ns <= execution.started_ns)
          continue;
        violations.push_back("shard " + std::to_string(shard) + " ran at " +
                             upstream + " until " + std::to_string(ended_ns) +
                             " and at " + execution.upstream + " from " +
                             std::to_string(execution.started_ns));
      }
      int64_t& end = latest_end[execution.upstream];
      end = std::max(end, execution.ended_ns);
    }
  }
  return violations;
}

std::vector<std::string> FindRepetitions(
    const std::vector<Execution>& executions) {
  std::vector<std::string> violations;
  for (const auto& [key, count] : CountPossibleRuns(executions)) {
    if (count > 1)
      violations.push_back("key " + key + " ran " + std::to_string(count) +
                           " times");
  }
  return violations;
}

std::vector<std::string> FindFalseOutcomes(
    const std::vector<Execution>& executions,
    const std::map<std::string, std::string>& reported) {
  std::vector<std::string> violations;
  const std::map<std::string, int> runs = CountPossibleRuns(executions);
  for (const auto& [key, outcome] : reported) {
    const auto found = runs.find(key);
    const int count = found == runs.end() ? 0 : found->second;
    if (outcome == "not run" && count != 0)
      violations.push_back("key " + key +
                           " ran, but its caller was told that it did not");
    if (outcome == "ran" && count == 0)
      violations.push_back("key " + key +
                           " did not run, but its caller was told that it did");
  }
  return violations;
}

}  // namespace mimosadeal
