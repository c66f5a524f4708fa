#pragma once

#include "savory/core/billing.h"
#include "savory/core/record.h"

#include <cstdint>
#include <string>
#include <vector>

// A deterministic discrete-event simulation of one slot: agents, store, backend
// server and callers. Messages are events in simulated time; faults are
// injected at named points in the life cycle of one key, "key-0". All decisions
// about calls are made by the record under test.
namespace savory::test {

enum class Fault
{
  None,
  KillOwner,
  ReplaceOwner,
  PauseOwner,
  PartitionOwner,
  PartitionOwnerAndWitness,
  StoreUnavailable,
  StoreLosesAnswers,
  StoreSlow,
  KillWitness,
  KillBothWitnesses,
  BackendConnectionLost,
  BackendUnreachable,
};
inline constexpr int kFaultCount = 13;

enum class InjectionPoint
{
  BeforeClaim,
  AfterClaim,
  BeforeDispatch,
  AfterDispatch,
  BeforeOutcome,
  AfterOutcome,
};
inline constexpr int kInjectionPointCount = 6;

struct FaultInjection
{
  Fault mFault = Fault::None;
  InjectionPoint mPoint = InjectionPoint::BeforeClaim;
};

struct SimulationOptions
{
  RecordOptions mRecord;
  bool mWitnessFence = true;
  std::uint64_t mSeed = 1;
  std::vector<FaultInjection> mInjections;
  // Number of random faults at random times, for the property test.
  int mRandomFaults = 0;
};

// A run at the backend server. Runs, the answers to callers and the bills in
// the store are the input of the checker, which is independent of the record.
struct BackendRun
{
  std::string mKey;
  std::string mBody;
  std::uint64_t mFingerprint = 0;
  CallId mCall = 0;
  TimeMs mDispatchedMs = 0;
};

struct CallerAnswer
{
  std::string mKey;
  std::uint64_t mFingerprint = 0;
  CallId mCall = 0;
  TimeMs mAnsweredMs = 0;
  AnswerCall mAnswer;
};

struct History
{
  std::vector<BackendRun> mRuns;
  std::vector<CallerAnswer> mAnswers;
  std::vector<std::string> mBills;
  bool mIncomplete = false;
  int mInjectedCount = 0;
};

History
RunSimulation(const SimulationOptions& aOptions);

// Returns the violations in a history, one line each. aCheckLiveness also
// requires that a new key was served after the faults.
std::vector<std::string>
CheckHistory(const History& aHistory, bool aCheckLiveness);

} // namespace savory::test
