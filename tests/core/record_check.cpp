#include "record_simulation.h"

#include <map>
#include <set>

namespace savory::test {

std::vector<std::string>
CheckHistory(const History& aHistory, bool aCheckLiveness)
{
  std::vector<std::string> violations;
  // 1. At most one run of a key.
  std::map<std::string, const BackendRun*> runs;
  for (const auto& run : aHistory.mRuns) {
    if (!runs.try_emplace(run.mKey, &run).second) {
      violations.push_back("two runs of " + run.mKey);
    }
  }
  std::set<std::string> answered;
  for (const auto& row : aHistory.mAnswers) {
    const auto& answer = row.mAnswer;
    for (const auto& run : aHistory.mRuns) {
      // 2. When a call is answered with "not run", its key has not run before
      // and that call does not run later.
      bool ranBefore =
        run.mKey == row.mKey && run.mDispatchedMs < row.mAnsweredMs;
      bool sameCall = run.mCall == row.mCall;
      if (!answer.mOutcome && answer.mExecution == ExecutionState::NotRun &&
          (ranBefore || sameCall)) {
        violations.push_back("false not_run for " + row.mKey);
      }
    }
    // 3. Every outcome is that of the key's one run with the same fingerprint.
    auto run = runs.find(row.mKey);
    if (answer.mOutcome) {
      answered.insert(row.mKey);
      if (run == runs.end() || run->second->mBody != answer.mOutcome->mBody ||
          answer.mOutcome->mStatus != 201 ||
          run->second->mFingerprint != row.mFingerprint) {
        violations.push_back("an answer that differs from the run: " +
                             row.mKey);
      }
    }
  }
  // 4. Each answered request is billed once, and none is billed without a run.
  Settlement settlement;
  for (const auto& value : aHistory.mBills) {
    Settle(settlement, *ParseBillBatch(value));
  }
  for (const auto& [id, step] : settlement.mRuns) {
    if (!runs.contains(id.mRequestId.substr(8))) {
      violations.push_back("a bill without a run: " + id.mRequestId);
    }
  }
  auto totals = TotalsByCustomer(settlement);
  auto billed = static_cast<std::int64_t>(settlement.mRuns.size());
  if (billed > 0 && totals["bengal"].mCost != billed) {
    violations.push_back("a request was billed twice");
  }
  for (const auto& key : answered) {
    if (!settlement.mRuns.contains({ "request-" + key, 0, 0 })) {
      violations.push_back("no bill for " + key);
    }
  }
  // 5. A new key is served after the faults.
  if (aCheckLiveness && !aHistory.mIncomplete && !answered.contains("fresh")) {
    violations.emplace_back("a fresh key was not served");
  }
  return violations;
}

} // namespace savory::test
