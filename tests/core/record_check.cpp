#include "record_world.h"

#include <map>
#include <set>

namespace savory::test {

std::vector<std::string>
Check(const History& aHistory, bool aLive)
{
  std::vector<std::string> broken;
  // 1. At most one run of a key.
  std::map<std::string, const Run*> runs;
  for (const auto& run : aHistory.mRuns) {
    if (!runs.try_emplace(run.mKey, &run).second) {
      broken.push_back("two runs of " + run.mKey);
    }
  }
  std::set<std::string> answered;
  for (const auto& row : aHistory.mAnswers) {
    const auto& answer = row.mAnswer;
    for (const auto& run : aHistory.mRuns) {
      // 2. "Not run" is true for the key when it is said, and that call is
      // not run later.
      bool earlier = run.mKey == row.mKey && run.mDecidedMs < row.mSaidMs;
      bool own = run.mCall == row.mCall;
      if (!answer.mOutcome && answer.mExecution == ExecutionState::NotRun &&
          (earlier || own)) {
        broken.push_back("false not_run for " + row.mKey);
      }
    }
    // 3. Every answer is that of the one run, of the same call.
    auto run = runs.find(row.mKey);
    if (answer.mOutcome) {
      answered.insert(row.mKey);
      if (run == runs.end() || run->second->mBody != answer.mOutcome->mBody ||
          answer.mOutcome->mStatus != 201 ||
          run->second->mFingerprint != row.mFingerprint) {
        broken.push_back("an answer that is not the run's: " + row.mKey);
      }
    }
  }
  // 4. One bill for each request that was answered, none without a run.
  Settlement settlement;
  for (const auto& value : aHistory.mBills) {
    Settle(settlement, *ParseBillBatch(value));
  }
  for (const auto& [id, step] : settlement.mRuns) {
    if (!runs.contains(id.mRequestId.substr(8))) {
      broken.push_back("a bill without a run: " + id.mRequestId);
    }
  }
  auto totals = TotalsByCustomer(settlement);
  auto billed = static_cast<std::int64_t>(settlement.mRuns.size());
  if (billed > 0 && totals["bengal"].mCost != billed) {
    broken.push_back("a request was billed twice");
  }
  for (const auto& key : answered) {
    if (!settlement.mRuns.contains({ "request-" + key, 0, 0 })) {
      broken.push_back("no bill for " + key);
    }
  }
  // 5. New keys are served again after the faults.
  if (aLive && !aHistory.mIncomplete && !answered.contains("fresh")) {
    broken.emplace_back("a fresh key was not served");
  }
  return broken;
}

} // namespace savory::test
