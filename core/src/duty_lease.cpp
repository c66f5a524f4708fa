#include "savory/core/duty_lease.h"

#include <algorithm>

namespace savory {

namespace {

// Low-order bits of a fencing token, for the revision; the store's epoch is
// above them.
constexpr int kTokenRevisionBits = 40;

// Delay between the attempts of successive candidates. A replica shows another
// host's acquisition after up to 0.9 s, and a lost election costs a call.
constexpr TimeMs kCandidateDelayMs = 1200;
constexpr int kMaxDelayedRank = 16;

// Pause after a call that failed. It doubles with each grant that failed, a
// bounded number of times.
constexpr TimeMs kRetryPauseMs = 500;
constexpr int kMaxRetryDoublings = 4;

// Pause after another host acquired the lease, until the replica shows it.
constexpr TimeMs kLostElectionPauseMs = 1500;

// A host that held the lease leaves it to others for this many lifetimes of the
// lease, so that its calls on their way are executed or refused before it acts
// again.
constexpr TimeMs kPauseLeases = 2;

// A renewal without an answer is repeated sooner than the next is due.
constexpr TimeMs kRenewRetryMs = 250;

// The key is not written with less time than this left of the lease.
constexpr TimeMs kMinAcquireMs = 800;

void
Lose(DutyLease& aLease, TimeMs aPauseMs, TimeMs aNowMs)
{
  aLease.mState = LeaseState::Ending;
  aLease.mNextCallMs = aNowMs;
  aLease.mAbsentSinceMs.reset();
  aLease.mNotBeforeMs = std::max(
    aLease.mNotBeforeMs,
    aNowMs + std::max(aPauseMs, kPauseLeases * aLease.mOptions.mLeaseMs));
}

// Whether the replica shows that the key is no longer the one that this host
// wrote.
bool
IsSuperseded(const DutyLease& aLease, const LeaseView& aView)
{
  return aView.mReplica.mEpoch > aLease.mAcquired.mEpoch ||
         (aView.mReplica.mEpoch == aLease.mAcquired.mEpoch &&
          aView.mReplica.mRevision >= aLease.mAcquired.mRevision &&
          aView.mKeyRevision != aLease.mAcquired.mRevision);
}

LeaseCall
NextCandidateCall(DutyLease& aLease, const LeaseView& aView, TimeMs aNowMs)
{
  if (!aView.mIsCurrent || aView.mKeyRevision != 0 || aView.mIsLeaving) {
    aLease.mAbsentSinceMs.reset();
    return LeaseCall::None;
  }
  if (!aLease.mAbsentSinceMs) {
    aLease.mAbsentSinceMs = aNowMs;
  }
  TimeMs delay = kCandidateDelayMs * std::min(aView.mRank, kMaxDelayedRank);
  return aNowMs >= *aLease.mAbsentSinceMs + delay &&
             aNowMs >= aLease.mNotBeforeMs
           ? LeaseCall::Grant
           : LeaseCall::None;
}

} // namespace

DutyLease
MakeDutyLease(const DutyLeaseOptions& aOptions, TimeMs aNowMs)
{
  DutyLease lease;
  lease.mOptions = aOptions;
  lease.mNotBeforeMs = aNowMs + kPauseLeases * aOptions.mLeaseMs;
  return lease;
}

bool
MayAct(const DutyLease& aLease, TimeMs aNowMs)
{
  return aLease.mState == LeaseState::Holder &&
         aNowMs < aLease.mValidUntilMs - aLease.mOptions.mMarginMs;
}

std::int64_t
FencingToken(const DutyLease& aLease)
{
  return (aLease.mAcquired.mEpoch << kTokenRevisionBits) +
         aLease.mAcquired.mRevision;
}

LeaseCall
NextLeaseCall(DutyLease& aLease, const LeaseView& aView, TimeMs aNowMs)
{
  bool isHolder = aLease.mState == LeaseState::Holder;
  if (isHolder && (!MayAct(aLease, aNowMs) || IsSuperseded(aLease, aView))) {
    Lose(aLease, 0, aNowMs);
  }
  if (aLease.mCallPending) {
    return LeaseCall::None;
  }
  switch (aLease.mState) {
    case LeaseState::Candidate:
      return NextCandidateCall(aLease, aView, aNowMs);
    case LeaseState::Granted:
      if (aView.mIsLeaving || aView.mKeyRevision != 0 ||
          aNowMs > aLease.mValidUntilMs - kMinAcquireMs) {
        // The lease has no key and expires.
        aLease.mState = LeaseState::Candidate;
        return LeaseCall::None;
      }
      return LeaseCall::Acquire;
    case LeaseState::Holder:
      return aNowMs >= aLease.mNextCallMs ? LeaseCall::Renew : LeaseCall::None;
    case LeaseState::Ending:
      return aNowMs >= aLease.mNextCallMs ? LeaseCall::End : LeaseCall::None;
  }
  return LeaseCall::None;
}

void
OnLeaseCall(DutyLease& aLease, TimeMs aNowMs)
{
  aLease.mCallPending = true;
  aLease.mCallSentMs = aNowMs;
}

void
OnLeaseGranted(DutyLease& aLease,
               std::optional<std::int64_t> aLeaseId,
               TimeMs aTtlMs,
               TimeMs aNowMs)
{
  aLease.mCallPending = false;
  if (!aLeaseId) {
    aLease.mNotBeforeMs =
      aNowMs +
      (kRetryPauseMs << std::min(aLease.mGrantFailures++, kMaxRetryDoublings));
    return;
  }
  aLease.mGrantFailures = 0;
  aLease.mLeaseId = *aLeaseId;
  aLease.mState = LeaseState::Granted;
  // The lease runs from the arrival of the call, which is no earlier than its
  // sending.
  aLease.mTtlMs = std::min(aTtlMs, aLease.mOptions.mLeaseMs);
  aLease.mValidUntilMs = aLease.mCallSentMs + aLease.mTtlMs;
}

void
OnLeaseAcquired(DutyLease& aLease,
                LeaseResult aResult,
                StoreRevision aRevision,
                TimeMs aNowMs)
{
  aLease.mCallPending = false;
  if (aResult == LeaseResult::Done && aLease.mState == LeaseState::Granted) {
    aLease.mState = LeaseState::Holder;
    aLease.mAcquired = aRevision;
    aLease.mNextCallMs = aNowMs;
    return;
  }
  if (aResult == LeaseResult::Refused && aLease.mState == LeaseState::Granted) {
    aLease.mState = LeaseState::Candidate;
    aLease.mAbsentSinceMs.reset();
    aLease.mNotBeforeMs = aNowMs + kLostElectionPauseMs;
    return;
  }
  // After no answer the key may be written later. Ending the lease prevents
  // that or deletes the key.
  aLease.mState = LeaseState::Ending;
  aLease.mNextCallMs = aNowMs;
  aLease.mNotBeforeMs = std::max(aLease.mNotBeforeMs, aNowMs + kRetryPauseMs);
}

void
OnLeaseRenewed(DutyLease& aLease, LeaseResult aResult, TimeMs aNowMs)
{
  aLease.mCallPending = false;
  if (aLease.mState != LeaseState::Holder) {
    return;
  }
  if (aResult == LeaseResult::Refused) {
    Lose(aLease, 0, aNowMs);
  } else if (aResult == LeaseResult::Done) {
    aLease.mValidUntilMs = aLease.mCallSentMs + aLease.mTtlMs;
    aLease.mNextCallMs = aLease.mCallSentMs + aLease.mOptions.mRenewIntervalMs;
  } else {
    aLease.mNextCallMs = aNowMs + kRenewRetryMs;
  }
}

void
OnLeaseEnded(DutyLease& aLease, LeaseResult aResult, TimeMs aNowMs)
{
  aLease.mCallPending = false;
  // By the second condition the lease has ended by itself.
  if (aResult != LeaseResult::Unknown ||
      aNowMs > aLease.mValidUntilMs + aLease.mOptions.mLeaseMs) {
    aLease.mState = LeaseState::Candidate;
    aLease.mAbsentSinceMs.reset();
    return;
  }
  aLease.mNextCallMs = aNowMs + kRetryPauseMs;
}

void
ResignLease(DutyLease& aLease, TimeMs aPauseMs, TimeMs aNowMs)
{
  if (aLease.mState == LeaseState::Holder ||
      aLease.mState == LeaseState::Granted) {
    Lose(aLease, aPauseMs, aNowMs);
  }
}

} // namespace savory
