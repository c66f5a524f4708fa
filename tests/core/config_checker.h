#pragma once

#include "fleet_sim.h"

#include <set>

namespace savory::sim {

// An operator that makes its changes one after the other and asks again, with
// the same id, when it does not learn the outcome.
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

// What an operator was told of a change in the end.
struct OperatorReport
{
  std::string mId;
  ChangeState mState = ChangeState::Running;
  std::int64_t mRevision = 0;
};

// Judges a run by the values that the store accepted and by what the processes
// did, not by what they say of themselves.
class Checker
{
public:
  Checker(Fleet& aFleet, const Configuration& aFirst);

  // Starts an operator at a time.
  void AddOperator(Operator aOperator, TimeMs aAtMs);

  // Offers work all the time until a time.
  void OfferWorkUntil(TimeMs aTimeMs);

  // Checks what holds at the end: all live processes have the newest revision,
  // operators were told the truth, no accepted change is missing.
  void Finish();

  const std::vector<std::string>& Faults() const { return mFaults; }
  std::int64_t AcceptedWork() const { return mWork; }
  const std::vector<OperatorReport>& OperatorReports() const
  {
    return mOperatorReports;
  }

private:
  void OnAdopted(int aNode, std::int64_t aRevision);
  void OnWork(int aNode, std::int64_t aRevision);
  void CheckEverywhere();
  void Step(std::size_t aOperator,
            std::shared_ptr<Change> aChange,
            TimeMs aStartMs);
  void Begin(std::size_t aOperator);
  Configuration Stored(std::size_t aIndex) const;
  void Fault(const std::string& aText);

  Fleet& mFleet;
  std::vector<std::string> mFaults;
  std::vector<Operator> mOperators;
  std::vector<OperatorReport> mOperatorReports;
  std::map<std::string, Mutation> mMutations;
  std::map<std::pair<int, std::int64_t>, std::int64_t> mInForce;
  std::map<int, std::int64_t> mHeldBefore;
  std::map<std::int64_t, nlohmann::json> mDocuments;
  std::int64_t mWork = 0;
};

} // namespace savory::sim
