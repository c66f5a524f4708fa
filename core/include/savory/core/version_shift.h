#pragma once

#include "savory/core/runners.h"
#include "savory/core/store_revision.h"
#include "savory/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace savory {

// The gradual shift of a service's traffic from its baseline version to a
// target version, whose backend servers run beside those of the baseline. The
// progress is kept in the store. Any entry host may advance it;
// compare-and-swap keeps two hosts from doing so at once.

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

// The operators' order to shift a service to a target version.
struct ShiftOrder
{
  std::string mService;
  std::string mTarget;
  TimeMs mDurationMs = 0;
  StoreRevision mRevision;
};

// The progress of a shift as stored.
struct ShiftProgress
{
  std::string mTarget;
  ShiftState mState = ShiftState::InProgress;
  // Share of the sessions that use the target, 0 to 1.
  double mShare = 0;
  // Revision of the order that the progress belongs to.
  StoreRevision mOrderRevision;
  // When the order was first seen, by the wall clock of the host that wrote the
  // first progress; 0 when unknown. Only hosts that start later use it.
  std::int64_t mOrderedWallMs = 0;
};

// The result of a request as evidence for or against the version that served
// it.
enum class AnswerResult
{
  Good,
  Failed,
  // Much later than expected, or none by then.
  Slow,
};

inline constexpr std::array<EnumName<AnswerResult>, 3> kAnswerResultNames{ {
  { AnswerResult::Good, "good" },
  { AnswerResult::Failed, "failed" },
  { AnswerResult::Slow, "slow" },
} };

// How long an answer may take before it counts as slow or as delayed, by its
// expected time on a runner of the baseline that has nothing of the prompt
// cached. Slow answers count at all times; a pool that is short for a moment
// makes few of them. Delayed ones count while both versions serve and bear the
// same load: there, twice the expected time tells a version that is several
// times slower from an equal one within a dozen answers.
TimeMs
SlowAfterMs(double aExpectedMs);
TimeMs
DelayedAfterMs(double aExpectedMs);

// The target's answers that one entry host has seen since the order, and the
// host's requests that are still in flight at the baseline.
struct ShiftCounts
{
  std::int64_t mGood = 0;
  std::int64_t mFailed = 0;
  std::int64_t mSlow = 0;
  int mBaselineInFlight = 0;
  // Of the answers while both versions serve.
  std::int64_t mPrompt = 0;
  std::int64_t mDelayed = 0;

  bool operator==(const ShiftCounts&) const = default;
};

struct VersionShift
{
  ShiftOrder mOrder;
  TimeMs mOrderSeenMs = 0;
  std::optional<ShiftProgress> mProgress;
  // Revision of the progress in the store, for compare-and-swap.
  StoreRevision mProgressRevision;
  // The store has lost the progress, or has an earlier one: it was restored
  // from an older snapshot.
  bool mIsProgressLost = false;
  TimeMs mStageSeenMs = 0;
  ShiftCounts mLocalCounts;
  std::map<std::string, ShiftCounts> mPeerCounts;
  // Cumulative sums (CUSUM), at least zero, of the log-likelihood ratio of a
  // bad version against a good one, for failures, slow and delayed answers, and
  // the counts that are included in them.
  double mFailedEvidence = 0;
  double mSlowEvidence = 0;
  double mDelayedEvidence = 0;
  ShiftCounts mEvaluated;
  ShiftCounts mStageStartCounts;
  // Exponentially weighted shares of failures, slow and delayed answers among
  // the baseline's answers to this host.
  double mBaselineFailedShare = 0;
  double mBaselineSlowShare = 0;
  double mBaselineDelayedShare = 0;
  // This host has enough evidence against the target and sends it no requests.
  bool mTargetRejected = false;
};

// The version that a session used last, and when its last request ended.
struct SessionUse
{
  std::string mVersion;
  TimeMs mLastEndedMs = 0;
};

// The recent sessions of this host, by service and session id.
struct SessionTable
{
  std::map<std::pair<std::string, std::string>, SessionUse> mUses;
  TimeMs mLastSweepMs = 0;
};

// Records the version that served a session's request. Sessions without a
// request for aKeepMs expire.
void
OnSessionRequest(SessionTable& aSessions,
                 const std::string& aService,
                 const std::string& aSession,
                 const std::string& aVersion,
                 TimeMs aKeepMs,
                 TimeMs aNowMs);

// The shifts by service, and the versions that may be used without an order.
struct VersionShifts
{
  std::map<std::string, VersionShift> mShifts;
  // Versions of each service that were in use before any order or whose shift
  // is completed.
  std::map<std::string, std::set<std::string>> mStableVersions;
};

// Whether the shift is ordered or under way.
bool
IsActive(const VersionShift& aShift);

// Applies an order. A newer order for the same service starts a new shift. The
// first order of a newer epoch with the same target and duration is the same
// order, which the restored store still has or the operator has written again.
void
ApplyOrder(VersionShifts& aShifts, const ShiftOrder& aOrder, TimeMs aNowMs);

// Sets a lower bound for the age of the order, as known from a peer or from the
// stored progress. Without it a host that starts later would restart the
// order's time.
void
ApplyOrderAge(VersionShift& aShift, TimeMs aAgeMs, TimeMs aNowMs);

// Applies progress from the store; an older revision is ignored. Progress of a
// newer epoch that is behind what this host knows changes nothing but the
// revision for compare-and-swap, and is to be written again.
void
ApplyProgress(VersionShifts& aShifts,
              const std::string& aService,
              const ShiftProgress& aProgress,
              const StoreRevision& aRevision,
              TimeMs aNowMs);

// The store was restored from an older snapshot. aStored is the progress that
// it has now, with its revision; without one, aRevision states the epoch.
void
OnProgressRestored(VersionShift& aShift,
                   const std::optional<ShiftProgress>& aStored,
                   const StoreRevision& aRevision);

// A backend server of the target version answered.
void
OnTargetAnswer(VersionShift& aShift, AnswerResult aResult);

// A backend server of the baseline answered. Its results are the reference for
// the target.
void
OnBaselineAnswer(VersionShift& aShift, AnswerResult aResult);

// Whether delayed answers count for requests that are sent now.
bool
ComparesDelays(const VersionShift& aShift);

// An answer of the target or of the baseline was delayed or not. It counts as
// delayed as soon as its time is over: the answers of a slow version arrive
// last.
void
OnTargetDelay(VersionShift& aShift, bool aIsDelayed);
void
OnBaselineDelay(VersionShift& aShift, bool aIsDelayed);

// Replaces the counts of a peer.
void
MergePeerCounts(VersionShift& aShift,
                const std::string& aPeer,
                const ShiftCounts& aCounts);

// The next progress to write to the store, or nothing. Progress that the store
// has lost is written again first. A bad target is rolled
// back as soon as the evidence suffices. A good one takes over in stages, and
// the shift is completed when the baseline has no requests in flight or most of
// the order's duration has passed.
std::optional<ShiftProgress>
AdvanceShift(VersionShift& aShift, TimeMs aNowMs);

// Whether a request with the random point aPoint in [0, 1) uses the target
// version.
bool
UsesTarget(const VersionShift& aShift, double aPoint);

// The version that a session must keep, or nothing. A session keeps the target
// until it is rolled back, and the baseline through the first half of a shift.
std::optional<std::string>
PinnedVersion(const VersionShifts& aShifts,
              const SessionTable& aSessions,
              const std::string& aService,
              const std::string& aSession,
              TimeMs aKeepMs,
              TimeMs aNowMs);

// Whether a runner's version may serve a request with the random point aPoint
// in [0, 1). With aFallback the baseline may replace the target, and a target
// that has not been rejected may replace the baseline.
bool
AllowsVersion(const VersionShifts& aShifts,
              const RunnerState& aRunner,
              double aPoint,
              bool aFallback,
              TimeMs aNowMs);

} // namespace savory
