#pragma once

#include "savory/core/store_revision.h"
#include "savory/core/types.h"

#include <cstdint>
#include <optional>

namespace savory {

// The lease under which one host at a time performs a duty. All times are those
// of the boot clock, which counts suspensions of the host.

struct DutyLeaseOptions
{
  // Lifetime of the lease at the store.
  TimeMs mLeaseMs = 3000;
  // The holder stops this long before the lease may end, for differences
  // between the clocks' rates and for writes on their way.
  TimeMs mMarginMs = 300;
  // Interval of renewals, each of which has a cost.
  TimeMs mRenewIntervalMs = 1000;
};

enum class LeaseState
{
  Candidate,
  // The lease is granted, but the key is not yet written.
  Granted,
  Holder,
  // The lease is to be ended at the store.
  Ending,
};

inline constexpr std::array<EnumName<LeaseState>, 4> kLeaseStateNames{ {
  { LeaseState::Candidate, "candidate" },
  { LeaseState::Granted, "granted" },
  { LeaseState::Holder, "holder" },
  { LeaseState::Ending, "ending" },
} };

// The next call to the store.
enum class LeaseCall
{
  None,
  Grant,
  // Writes the key under the condition that it does not exist.
  Acquire,
  Renew,
  End,
};

struct DutyLease
{
  DutyLeaseOptions mOptions;
  LeaseState mState = LeaseState::Candidate;
  // A call to the store has no answer yet.
  bool mCallPending = false;
  TimeMs mCallSentMs = 0;
  std::int64_t mLeaseId = 0;
  // Lifetime that the store granted, at most the one that was asked for.
  TimeMs mTtlMs = 0;
  // The lease is certain to be valid until this time, less the margin.
  TimeMs mValidUntilMs = 0;
  TimeMs mNextCallMs = 0;
  // Revision of the transaction that wrote the key.
  StoreRevision mAcquired;
  // No attempt to acquire the lease before this time.
  TimeMs mNotBeforeMs = 0;
  // Consecutive grants that failed.
  int mGrantFailures = 0;
  // Since when the key has been absent from the local replica.
  std::optional<TimeMs> mAbsentSinceMs;
};

// What a host knows besides its lease.
struct LeaseView
{
  // The local replica is confirmed by the store.
  bool mIsCurrent = false;
  StoreRevision mReplica;
  // Revision of the lease's key in the replica; 0 if it is absent.
  std::int64_t mKeyRevision = 0;
  // Place of this host in the order of the candidates; 0 is the first.
  int mRank = 0;
  // This host is about to stop.
  bool mIsLeaving = false;
};

// A host that starts may have held the lease before, and other hosts since; it
// waits, so that holders do not alternate within the lifetime of a lease.
DutyLease
MakeDutyLease(const DutyLeaseOptions& aOptions, TimeMs aNowMs);

// Whether the host may act now. To be asked immediately before each act.
bool
MayAct(const DutyLease& aLease, TimeMs aNowMs);

// The fencing token: rises with each acquisition, across restarts and epochs of
// the store.
std::int64_t
FencingToken(const DutyLease& aLease);

// Returns the call to make now. The caller marks it as sent with OnLeaseCall
// and reports its result.
LeaseCall
NextLeaseCall(DutyLease& aLease, const LeaseView& aView, TimeMs aNowMs);

void
OnLeaseCall(DutyLease& aLease, TimeMs aNowMs);

// aLeaseId is empty if the call failed.
void
OnLeaseGranted(DutyLease& aLease,
               std::optional<std::int64_t> aLeaseId,
               TimeMs aTtlMs,
               TimeMs aNowMs);

// The result of a call that changes the lease at the store.
enum class LeaseResult
{
  Done,
  // The store refused: the key exists, or the lease has ended.
  Refused,
  // No answer; the call may have been executed, or may be later.
  Unknown,
};

void
OnLeaseAcquired(DutyLease& aLease,
                LeaseResult aResult,
                StoreRevision aRevision,
                TimeMs aNowMs);
void
OnLeaseRenewed(DutyLease& aLease, LeaseResult aResult, TimeMs aNowMs);
void
OnLeaseEnded(DutyLease& aLease, LeaseResult aResult, TimeMs aNowMs);

// Gives the lease up; the token is not used again. No attempt to acquire the
// lease for aPauseMs, and not within its lifetime.
void
ResignLease(DutyLease& aLease, TimeMs aPauseMs, TimeMs aNowMs);

} // namespace savory
