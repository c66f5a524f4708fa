#pragma once

#include "savory/core/billing.h"
#include "savory/core/record.h"

#include <cstdint>
#include <string>
#include <vector>

// A deterministic simulation of one slot: agents, store, backend server and
// callers. Messages are events in simulated time; faults hit at named steps of
// the life of one key. Nothing here decides for the record.
namespace savory::test {

enum class Fault
{
  None,
  KillOwner,
  ReplaceOwner,
  PauseOwner,
  CutOwner,
  CutOwnerAndWitness,
  StoreDown,
  StoreLosesAnswers,
  StoreSlow,
  KillWitness,
  KillBothWitnesses,
  BackendBreaks,
  BackendUnreachable,
};
inline constexpr int kFaults = 13;

enum class Step
{
  BeforeClaim,
  AfterClaim,
  BeforeDispatch,
  AfterDispatch,
  BeforeOutcome,
  AfterOutcome,
};
inline constexpr int kSteps = 6;

struct Strike
{
  Fault mFault = Fault::None;
  Step mStep = Step::BeforeClaim;
};

struct WorldOptions
{
  RecordOptions mRecord;
  bool mWitnessFence = true;
  std::uint64_t mSeed = 1;
  std::vector<Strike> mStrikes;
  // Random strikes at random times instead, for the property test.
  int mRandomStrikes = 0;
};

// What the independent checker reads: runs at the backend server, answers at
// the callers and the bills in the store.
struct Run
{
  std::string mKey;
  std::string mBody;
  std::uint64_t mFingerprint = 0;
  CallId mCall = 0;
  TimeMs mDecidedMs = 0;
};

struct CallerAnswer
{
  std::string mKey;
  std::uint64_t mFingerprint = 0;
  CallId mCall = 0;
  TimeMs mSaidMs = 0;
  AnswerCall mAnswer;
};

struct History
{
  std::vector<Run> mRuns;
  std::vector<CallerAnswer> mAnswers;
  std::vector<std::string> mBills;
  bool mIncomplete = false;
  int mStruck = 0;
};

History
RunWorld(const WorldOptions& aOptions);

// The broken promises of a history, one line each. aLive also demands that the
// last, fresh key was served.
std::vector<std::string>
Check(const History& aHistory, bool aLive);

} // namespace savory::test
