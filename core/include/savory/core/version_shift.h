#pragma once

#include "savory/core/runners.h"
#include "savory/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace savory {

// The move of a service's traffic from its present version to a new one, whose
// backend servers run beside the old ones. Progress lies in the store; any
// entry host may drive it, and compare-and-swap keeps two from doing so at
// once.

enum class ShiftState
{
  InProgress,
  Completed,
  RolledBack,
};

inline constexpr std::array<EnumName<ShiftState>, 3> kShiftStateNames{ {
  { ShiftState::InProgress, "in-progress" },
  { ShiftState::Completed, "completed" },
  { ShiftState::RolledBack, "rolled-back" },
} };

// The operators' order.
struct ShiftOrder
{
  std::string mService;
  std::string mTarget;
  TimeMs mDurationMs = 0;
  std::int64_t mRevision = 0;
};

// Progress as it stands in the store.
struct ShiftProgress
{
  std::string mTarget;
  ShiftState mState = ShiftState::InProgress;
  // Share of the sessions that use the target, 0 to 1.
  double mShare = 0;
  // Revision of the order that it answers.
  std::int64_t mOrderRevision = 0;
  // When the order was first seen, by the wall clock of the host that wrote
  // the first progress; 0 when unknown. Only a host that starts later uses it.
  std::int64_t mOrderedWallMs = 0;
};

// How an answer speaks for or against the version that gave it.
enum class AnswerResult
{
  Good,
  Failed,
  // Much later than expected, or not at all in the time that was given.
  Slow,
};

// Answers of the new version that one entry host has seen since the order,
// and its requests that are still with the old version.
struct ShiftCounts
{
  std::int64_t mGood = 0;
  std::int64_t mFailed = 0;
  std::int64_t mSlow = 0;
  int mBaselineInFlight = 0;

  bool operator==(const ShiftCounts&) const = default;
};

struct VersionShift
{
  ShiftOrder mOrder;
  TimeMs mOrderSeenMs = 0;
  std::optional<ShiftProgress> mProgress;
  // Revision of the progress in the store, for compare-and-swap.
  std::int64_t mProgressRevision = 0;
  TimeMs mStageSeenMs = 0;
  ShiftCounts mLocalCounts;
  std::map<std::string, ShiftCounts> mPeerCounts;
  // Cumulative sums of the log-likelihood ratio of bad against good, at least
  // zero, by failures and by slow answers, and the counts that they have taken
  // in.
  double mFailedEvidence = 0;
  double mSlowEvidence = 0;
  ShiftCounts mEvaluated;
  ShiftCounts mStageStartCounts;
  // Decayed shares of failures and of slow answers of the old version, as this
  // host sees it.
  double mBaselineFailedShare = 0;
  double mBaselineSlowShare = 0;
  // This host has seen enough to send the target nothing more.
  bool mTargetRejected = false;
};

// The version that a session used last, and when its last request ended.
struct SessionUse
{
  std::string mVersion;
  TimeMs mLastMs = 0;
};

// Sessions of this host that may go on, by service and session.
struct SessionTable
{
  std::map<std::pair<std::string, std::string>, SessionUse> mUses;
  TimeMs mLastSweepMs = 0;
};

void
OnSessionRequest(SessionTable& aSessions,
                 const std::string& aService,
                 const std::string& aSession,
                 const std::string& aVersion,
                 TimeMs aKeepMs,
                 TimeMs aNowMs);

// Shifts by service, and the versions that may be used at all.
struct VersionShifts
{
  std::map<std::string, VersionShift> mShifts;
  // Versions of each service that were in use before any order, or completed.
  std::map<std::string, std::set<std::string>> mStableVersions;
};

// Takes an order; a newer one for the same service starts anew.
void
ApplyOrder(VersionShifts& aShifts, const ShiftOrder& aOrder, TimeMs aNowMs);

// The order is at least this old, as a peer or the store's record tells: a host
// that started later must not begin its time anew.
void
ApplyOrderAge(VersionShift& aShift, TimeMs aAgeMs, TimeMs aNowMs);

// Takes the progress from the store.
void
ApplyProgress(VersionShifts& aShifts,
              const std::string& aService,
              const ShiftProgress& aProgress,
              std::int64_t aRevision,
              TimeMs aNowMs);

// One answer of a backend server of the service's target version.
void
OnTargetAnswer(VersionShift& aShift, AnswerResult aResult);

// One answer of the old version, against which the target is judged.
void
OnBaselineAnswer(VersionShift& aShift, AnswerResult aResult);

// Takes the counts of a peer.
void
MergePeerCounts(VersionShift& aShift,
                const std::string& aPeer,
                const ShiftCounts& aCounts);

// The next progress to write, or nothing. A bad target is rolled back as soon
// as the evidence suffices; a good one takes over in stages and is completed
// when no work is left with the old version.
std::optional<ShiftProgress>
AdvanceShift(VersionShift& aShift, TimeMs aNowMs);

// Whether a request with this point in [0, 1) uses the target version.
bool
UsesTarget(const VersionShift& aShift, double aPoint);

// The version that a session must go on with, or nothing. A session stays with
// a target until that is rolled back, and with the old version through the
// first half of a shift.
std::optional<std::string>
PinnedVersion(const VersionShifts& aShifts,
              const SessionTable& aSessions,
              const std::string& aService,
              const std::string& aSession,
              TimeMs aKeepMs,
              TimeMs aNowMs);

// Whether a runner may get a request with this point. With aFallback, the old
// version may step in for the new one, and a new one that is not condemned for
// the old one.
bool
AllowsVersion(const VersionShifts& aShifts,
              const RunnerState& aRunner,
              double aPoint,
              bool aFallback,
              TimeMs aNowMs);

} // namespace savory
