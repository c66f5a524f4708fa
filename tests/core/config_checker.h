#pragma once

#include "fleet_sim.h"

#include <set>

namespace savory::sim {

// An operator that makes its changes one after the other and retries a change,
// with the same id, when its outcome is unknown.
struct Operator
{
  std::string mName;
  std::string mRegion = "r0";
  std::vector<Mutation> mChanges;
  std::size_t mNextChange = 0;
  bool mRetry = false;
  TimeMs mPauseMs = 1500;
  TimeMs mTimeoutMs = 8000;
};

// The final outcome of a change as reported to its operator.
struct OperatorReport
{
  std::string mId;
  ChangeState mState = ChangeState::Running;
  std::int64_t mRevision = 0;
};

// Checks a run against the values that the store accepted and the actions of
// the processes, not against what the processes report of themselves.
class Checker
{
public:
  Checker(Fleet& aFleet, const Configuration& aFirst);

  void AddOperator(Operator aOperator, TimeMs aAtMs);

  // Offers work every 40 ms until aTimeMs.
  void OfferWorkUntil(TimeMs aTimeMs);

  // Checks the final state: all live processes have the newest revision,
  // operators received the true outcomes, no accepted change is missing.
  void Finish();

  const std::vector<std::string>& Violations() const { return mViolations; }
  std::int64_t AcceptedWork() const { return mAcceptedWork; }
  const std::vector<OperatorReport>& OperatorReports() const
  {
    return mOperatorReports;
  }

private:
  void OnConfigApplied(int aNode, std::int64_t aRevision);
  void OnWorkAccepted(int aNode, std::int64_t aRevision);
  void CheckInForceEverywhere();
  void StepChange(std::size_t aOperator,
                  std::shared_ptr<Change> aChange,
                  TimeMs aStartMs);
  void BeginChange(std::size_t aOperator);
  Configuration StoredConfiguration(std::size_t aIndex) const;
  void AddViolation(const std::string& aText);

  Fleet& mFleet;
  std::vector<std::string> mViolations;
  std::vector<Operator> mOperators;
  std::vector<OperatorReport> mOperatorReports;
  std::map<std::string, Mutation> mMutations;
  std::map<std::pair<int, std::int64_t>, std::int64_t> mLastApplied;
  std::map<int, std::int64_t> mNewestApplied;
  std::map<std::int64_t, nlohmann::json> mStoredDocuments;
  std::int64_t mAcceptedWork = 0;
};

} // namespace savory::sim
