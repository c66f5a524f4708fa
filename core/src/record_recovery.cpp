#include "savory/core/record.h"

#include "record_detail.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

using namespace record_detail;

namespace {

// What a new owner learns from one item, in the order in which it was written.
void
ApplyItem(Slot& aSlot, const RecordItem& aItem)
{
  const Claim& claim = aItem.mClaim;
  std::string key = MapKey(claim);
  auto found = aSlot.mKeys.find(key);
  KeyState* state = found == aSlot.mKeys.end() ? nullptr : &found->second;
  if (state != nullptr && !IsNewer(claim, *state) && !IsSame(claim, *state)) {
    return;
  }
  if (state == nullptr || IsNewer(claim, *state)) {
    if (state != nullptr) {
      // The claim came after the outcome had expired at the earlier owner.
      SetOutcome(aSlot, *state, nullptr);
    }
    state = &AddKey(aSlot, key, claim.mClaimedMs);
    state->mPhase = KeyPhase::Unresolved;
    state->mFingerprint = claim.mFingerprint;
    state->mEpoch = claim.mEpoch;
    state->mAttempt = claim.mAttempt;
  }
  if (aItem.mKind == RecordItemKind::Outcome) {
    SetOutcome(aSlot, *state, aItem.mOutcome);
  } else if (aItem.mKind == RecordItemKind::NotRun &&
             state->mPhase == KeyPhase::Unresolved) {
    state->mPhase = KeyPhase::NotRun;
  }
}

// Sends a write of the status that keeps all but what aChange sets.
template<class Change>
void
ChangeStatus(Slot& aSlot,
             TimeMs aNowMs,
             RecordActions& aActions,
             Change aChange)
{
  SlotStatus status = aSlot.mStatus;
  ++status.mChange;
  status.mIncompleteUntilMs = aSlot.mIncompleteUntilMs;
  aChange(status);
  WriteStatus write{ aSlot.mStatus, status };
  aSlot.mStatusWrite = StatusInFlight{ write, false, aNowMs };
  aActions.emplace_back(std::move(write));
}

// Whether the claims that only witnesses may hold have been accounted for.
// aIncomplete is set when they cannot be.
bool
AreClaimsKnown(const Slot& aSlot, TimeMs aNowMs, bool& aIncomplete)
{
  if (aSlot.mStatus.mWitnesses.empty() || !aSlot.mOptions.mFetchOnTakeOver) {
    return true;
  }
  // One of the two is enough: each claim was acknowledged by both.
  const auto& links = aSlot.mLinks;
  if (links[0].mFetched || links[1].mFetched) {
    return true;
  }
  bool patienceOver =
    aNowMs - aSlot.mRecoveryStartMs >= aSlot.mOptions.mFetchPatienceMs;
  aIncomplete = (links[0].mGone && links[1].mGone) || patienceOver;
  return aIncomplete;
}

// Starts to serve once the record was read and the claims are known.
void
TryServe(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  // 1. Wait for both sources.
  bool incomplete = false;
  if (aSlot.mPhase != SlotPhase::Recovering || !aSlot.mRecordRead ||
      !AreClaimsKnown(aSlot, aNowMs, incomplete)) {
    return;
  }
  // 2. What earlier owners wrote, oldest first.
  std::sort(aSlot.mRead.begin(),
            aSlot.mRead.end(),
            [](const RecordBatch& aLeft, const RecordBatch& aRight) {
              return std::pair(aLeft.mEpoch, aLeft.mSequence) <
                     std::pair(aRight.mEpoch, aRight.mSequence);
            });
  std::int64_t oldest = UnixMs(aSlot, aNowMs) - aSlot.mOptions.mRetentionMs;
  for (const auto& batch : aSlot.mRead) {
    aSlot.mBatches.push_back(
      { batch.mEpoch, batch.mSequence, batch.mWrittenMs });
    for (const auto& item : batch.mItems) {
      bool honored = aSlot.mOptions.mHonorEarlierClaims ||
                     item.mKind == RecordItemKind::Outcome;
      if (honored && item.mClaim.mClaimedMs > oldest) {
        ApplyItem(aSlot, item);
      }
    }
  }
  aSlot.mRead.clear();
  // 3. What only a witness has; it is written before anything else.
  for (const auto& claim : aSlot.mFetchedClaims) {
    auto found = aSlot.mKeys.find(MapKey(claim));
    bool unwritten =
      found == aSlot.mKeys.end() || IsNewer(claim, found->second);
    if (unwritten && claim.mClaimedMs > oldest) {
      RecordItem item{ RecordItemKind::Claim, claim, nullptr };
      ApplyItem(aSlot, item);
      Enqueue(aSlot, aSlot.mKeys.at(MapKey(claim)), std::move(item));
    }
  }
  aSlot.mFetchedClaims.clear();
  aSlot.mHeldItems = aSlot.mQueue.size();
  aSlot.mWitnessesHold = !aSlot.mStatus.mWitnesses.empty() && !incomplete;
  // 4. Expiry in the order of the claims.
  std::stable_sort(aSlot.mExpiry.begin(),
                   aSlot.mExpiry.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.first < aRight.first;
                   });
  aSlot.mPhase = SlotPhase::Serving;
  if (incomplete) {
    aSlot.mIncompleteUntilMs =
      UnixMs(aSlot, aNowMs) + aSlot.mOptions.mRetentionMs;
  }
  if (aSlot.mIncompleteUntilMs != aSlot.mStatus.mIncompleteUntilMs) {
    // The next owner must know even if it finds no witnesses to ask.
    ChangeStatus(aSlot, aNowMs, aActions, [incomplete](SlotStatus& aStatus) {
      if (incomplete) {
        aStatus.mWitnesses.clear();
      }
    });
  }
  Flush(aSlot, aNowMs, aActions);
  DropHeldClaims(aSlot, aActions);
}

void
Fetch(Slot& aSlot, RecordActions& aActions)
{
  if (!aSlot.mOptions.mFetchOnTakeOver) {
    return;
  }
  for (std::size_t i = 0; i < aSlot.mStatus.mWitnesses.size(); ++i) {
    auto& link = aSlot.mLinks[i];
    if (!link.mFetched && !link.mGone && !link.mFetching) {
      link.mFetching = true;
      aActions.push_back(FetchClaims{ static_cast<int>(i),
                                      aSlot.mStatus.mWitnesses[i],
                                      aSlot.mStatus.mEpoch });
    }
  }
}

// Refuses the calls whose claims can be committed nowhere.
void
FailClaims(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  aSlot.mForWitnesses.clear();
  aSlot.mRoundClaims.clear();
  aSlot.mRoundOpen = false;
  std::vector<Claim> failed;
  auto collect = [&aSlot, &failed](const RecordItem& aItem) {
    auto found = aSlot.mKeys.find(MapKey(aItem.mClaim));
    if (aItem.mKind == RecordItemKind::Claim && found != aSlot.mKeys.end() &&
        found->second.mPhase == KeyPhase::Claiming &&
        IsSame(aItem.mClaim, found->second)) {
      failed.push_back(aItem.mClaim);
    }
  };
  if (aSlot.mInFlight) {
    std::for_each(
      aSlot.mInFlight->mItems.begin(), aSlot.mInFlight->mItems.end(), collect);
  }
  std::for_each(aSlot.mQueue.begin(), aSlot.mQueue.end(), collect);
  for (auto& claim : failed) {
    KeyState& state = aSlot.mKeys.at(MapKey(claim));
    state.mPhase = KeyPhase::NotRun;
    AnswerCall refusal{ .mOutcome = nullptr,
                        .mReplayed = false,
                        .mCode = ErrorCode::RecordUnavailable,
                        .mExecution = ProofOfNotRun(aSlot, aNowMs),
                        .mReason = "the store and a witness are unreachable" };
    AnswerWaiting(aSlot, state, refusal, aActions);
    Enqueue(
      aSlot, state, { RecordItemKind::NotRun, std::move(claim), nullptr });
  }
}

// Hands the claims that wait for the store to the witnesses.
void
ClaimAtWitnesses(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  if (!CanClaimWithoutStore(aSlot)) {
    FailClaims(aSlot, aNowMs, aActions);
    return;
  }
  std::vector<Claim> waiting;
  auto collect = [&aSlot, &waiting](const RecordItem& aItem) {
    auto found = aSlot.mKeys.find(MapKey(aItem.mClaim));
    if (aItem.mKind == RecordItemKind::Claim && found != aSlot.mKeys.end() &&
        found->second.mPhase == KeyPhase::Claiming &&
        IsSame(aItem.mClaim, found->second)) {
      waiting.push_back(aItem.mClaim);
    }
  };
  if (aSlot.mInFlight) {
    std::for_each(
      aSlot.mInFlight->mItems.begin(), aSlot.mInFlight->mItems.end(), collect);
  }
  std::for_each(aSlot.mQueue.begin(), aSlot.mQueue.end(), collect);
  if (aSlot.mOptions.mWitnessAcks == 0) {
    for (const auto& claim : waiting) {
      CommitClaim(aSlot, claim, aActions);
    }
    return;
  }
  aSlot.mForWitnesses = std::move(waiting);
  SendRound(aSlot, aActions);
}

void
StatusWritten(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  SlotStatus before = std::move(aSlot.mStatus);
  aSlot.mStatus = aSlot.mStatusWrite->mWrite.mNew;
  aSlot.mStatusWrite.reset();
  if (aSlot.mReleasing) {
    aSlot.mPhase = SlotPhase::Released;
    aActions.push_back(SlotLeft{ true });
    return;
  }
  if (aSlot.mPhase == SlotPhase::TakingOver) {
    aSlot.mPhase = SlotPhase::Recovering;
    aSlot.mIncompleteUntilMs = aSlot.mStatus.mIncompleteUntilMs;
    aSlot.mRecoveryStartMs = aNowMs;
    aSlot.mLastTryMs = aNowMs;
    aSlot.mReading = true;
    aActions.push_back(ReadRecord{});
    Fetch(aSlot, aActions);
    return;
  }
  if (before.mWitnesses != aSlot.mStatus.mWitnesses) {
    aSlot.mLinks = {};
  }
}

} // namespace

namespace record_detail {

void
StepDown(Slot& aSlot, RecordActions& aActions)
{
  aSlot.mPhase = SlotPhase::Lost;
  aSlot.mLeaseUntilMs = -1;
  aSlot.mQueueBase += static_cast<std::int64_t>(aSlot.mQueue.size());
  aSlot.mQueue.clear();
  aSlot.mQueueBytes = 0;
  aSlot.mInFlight.reset();
  aSlot.mStatusWrite.reset();
  aSlot.mForWitnesses.clear();
  aSlot.mRoundClaims.clear();
  aSlot.mRoundOpen = false;
  // Calls that were not dispatched may be claimed by the new owner, so that
  // nothing is known of their keys. Running ones are answered when they end.
  std::vector<const std::string*> claiming;
  for (const auto& [call, key] : aSlot.mCalls) {
    if (aSlot.mKeys.at(*key).mPhase == KeyPhase::Claiming) {
      claiming.push_back(key);
    }
  }
  for (const std::string* key : claiming) {
    AnswerCall refusal{ .mOutcome = nullptr,
                        .mReplayed = false,
                        .mCode = ErrorCode::NotOwner,
                        .mExecution = ExecutionState::Unknown,
                        .mReason = "another agent has taken the slot over" };
    AnswerWaiting(aSlot, aSlot.mKeys.at(*key), refusal, aActions);
  }
  aActions.push_back(SlotLeft{ false });
}

bool
CanClaimWithoutStore(const Slot& aSlot)
{
  return aSlot.mOptions.mWitnessAcks == 0 || WitnessesReady(aSlot);
}

void
SendRound(Slot& aSlot, RecordActions& aActions)
{
  if (aSlot.mRoundOpen || aSlot.mForWitnesses.empty()) {
    return;
  }
  // A message has the size of a store value at most.
  std::size_t bytes = 0;
  std::size_t count = 0;
  for (const auto& claim : aSlot.mForWitnesses) {
    bytes += EncodedBytes({ RecordItemKind::Claim, claim, nullptr });
    if (count > 0 && bytes > aSlot.mOptions.mMaxBatchBytes) {
      break;
    }
    ++count;
  }
  auto end = aSlot.mForWitnesses.begin() + static_cast<std::ptrdiff_t>(count);
  aSlot.mRoundClaims.assign(aSlot.mForWitnesses.begin(), end);
  aSlot.mForWitnesses.erase(aSlot.mForWitnesses.begin(), end);
  ++aSlot.mRound;
  aSlot.mRoundOpen = true;
  aSlot.mWitnessesHold = true;
  for (int i = 0; i < 2; ++i) {
    aSlot.mLinks[i].mAcked = false;
    aActions.push_back(SendClaims{ i,
                                   aSlot.mStatus.mWitnesses[i],
                                   aSlot.mStatus.mEpoch,
                                   aSlot.mRound,
                                   aSlot.mRoundClaims });
  }
}

void
DropHeldClaims(Slot& aSlot, RecordActions& aActions)
{
  if (!IsServing(aSlot) || !aSlot.mWitnessesHold || !aSlot.mStoreReachable ||
      aSlot.mRoundOpen || aSlot.mHeldItems > 0) {
    return;
  }
  aSlot.mWitnessesHold = false;
  for (const auto& witness : aSlot.mStatus.mWitnesses) {
    aActions.push_back(
      DropClaims{ witness, aSlot.mStatus.mEpoch, aSlot.mRound });
  }
}

void
TryRelease(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  bool unwritten = !aSlot.mQueue.empty() || aSlot.mInFlight ||
                   aSlot.mStatusWrite || aSlot.mWitnessesHold;
  bool busy = !aSlot.mRunning.empty() && !aSlot.mForceRelease;
  if (aSlot.mPhase != SlotPhase::Draining || aSlot.mReleasing || unwritten ||
      busy || !aSlot.mStoreReachable) {
    return;
  }
  // A released slot is taken over without waiting for the lease, so that the
  // lease proves nothing from now on.
  aSlot.mReleasing = true;
  aSlot.mLeaseUntilMs = -1;
  ChangeStatus(aSlot, aNowMs, aActions, [](SlotStatus& aStatus) {
    aStatus.mOwner = {};
    aStatus.mClean = true;
    aStatus.mWitnesses.clear();
  });
}

void
RetryRecovery(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  if (aSlot.mPhase != SlotPhase::Recovering ||
      aNowMs < aSlot.mLastTryMs + aSlot.mOptions.mRetryMs) {
    return;
  }
  aSlot.mLastTryMs = aNowMs;
  if (!aSlot.mRecordRead && !aSlot.mReading) {
    aSlot.mReading = true;
    aActions.push_back(ReadRecord{});
  }
  Fetch(aSlot, aActions);
  TryServe(aSlot, aNowMs, aActions);
}

void
RetryStatus(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  if (aSlot.mStatusWrite && aSlot.mStatusWrite->mWaiting &&
      aNowMs >= aSlot.mStatusWrite->mSentMs + aSlot.mOptions.mRetryMs) {
    aSlot.mStatusWrite->mWaiting = false;
    aSlot.mStatusWrite->mSentMs = aNowMs;
    aActions.push_back(aSlot.mStatusWrite->mWrite);
  }
}

} // namespace record_detail

bool
WitnessesReady(const Slot& aSlot)
{
  // While a write of the status has no known result, it is uncertain which
  // witnesses a new owner would ask.
  const auto& witnesses = aSlot.mStatus.mWitnesses;
  return !aSlot.mStatusWrite && witnesses.size() == 2 &&
         !aSlot.mLinks[0].mLost && !aSlot.mLinks[1].mLost &&
         witnesses[0].mHost != witnesses[1].mHost &&
         witnesses[0].mHost != aSlot.mSelf.mHost &&
         witnesses[1].mHost != aSlot.mSelf.mHost;
}

RecordActions
TakeOver(Slot& aSlot, const std::optional<SlotStatus>& aCurrent, TimeMs aNowMs)
{
  RecordActions actions;
  if (aSlot.mPhase != SlotPhase::Idle) {
    return actions;
  }
  // The witnesses of the earlier owner stay named until their claims are in
  // the store, so that a failure of this owner loses none.
  SlotStatus status = aCurrent.value_or(SlotStatus{});
  status.mOwner = aSlot.mSelf;
  ++status.mEpoch;
  ++status.mChange;
  status.mClean = false;
  WriteStatus write{ aCurrent, status };
  aSlot.mPhase = SlotPhase::TakingOver;
  aSlot.mStatusWrite = StatusInFlight{ write, false, aNowMs };
  actions.emplace_back(std::move(write));
  return actions;
}

RecordActions
StatusAnswered(Slot& aSlot,
               StoreAnswer aAnswer,
               const std::optional<SlotStatus>& aCurrent,
               TimeMs aNowMs)
{
  RecordActions actions;
  if (!aSlot.mStatusWrite) {
    return actions;
  }
  bool landed = aAnswer == StoreAnswer::Conflict && aCurrent &&
                *aCurrent == aSlot.mStatusWrite->mWrite.mNew;
  if (aAnswer == StoreAnswer::Written || landed) {
    StatusWritten(aSlot, aNowMs, actions);
    TryRelease(aSlot, aNowMs, actions);
  } else if (aAnswer == StoreAnswer::Conflict) {
    // Only an owner of this epoch writes such a value: another agent is ahead.
    StepDown(aSlot, actions);
  } else {
    aSlot.mStatusWrite->mWaiting = true;
    aSlot.mStatusWrite->mSentMs = aNowMs;
  }
  return actions;
}

void
LeaseRenewed(Slot& aSlot, TimeMs aSentMs)
{
  if (!aSlot.mReleasing && aSlot.mPhase != SlotPhase::Lost) {
    aSlot.mLeaseUntilMs = std::max(aSlot.mLeaseUntilMs,
                                   aSentMs + aSlot.mOptions.mLeaseMs -
                                     aSlot.mOptions.mLeaseMarginMs);
  }
}

RecordActions
RecordRead(Slot& aSlot,
           const std::optional<std::vector<std::string>>& aValues,
           TimeMs aNowMs)
{
  RecordActions actions;
  if (aSlot.mPhase != SlotPhase::Recovering || aSlot.mRecordRead) {
    return actions;
  }
  aSlot.mReading = false;
  if (!aValues) {
    return actions;
  }
  aSlot.mRecordRead = true;
  for (const auto& text : *aValues) {
    auto batch = ParseRecordBatch(text);
    if (batch) {
      aSlot.mRead.push_back(std::move(*batch));
    } else {
      aSlot.mIncompleteUntilMs =
        UnixMs(aSlot, aNowMs) + aSlot.mOptions.mRetentionMs;
    }
  }
  TryServe(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
ClaimsFetched(Slot& aSlot,
              int aWitness,
              const std::vector<Claim>& aClaims,
              TimeMs aNowMs)
{
  RecordActions actions;
  auto& link = aSlot.mLinks.at(static_cast<std::size_t>(aWitness));
  link.mFetching = false;
  if (aSlot.mPhase == SlotPhase::Recovering) {
    link.mFetched = true;
    link.mLost = false;
    aSlot.mFetchedClaims.insert(
      aSlot.mFetchedClaims.end(), aClaims.begin(), aClaims.end());
    TryServe(aSlot, aNowMs, actions);
  }
  return actions;
}

RecordActions
ClaimsNotFetched(Slot& aSlot, int aWitness, bool aGone, TimeMs aNowMs)
{
  RecordActions actions;
  auto& link = aSlot.mLinks.at(static_cast<std::size_t>(aWitness));
  link.mFetching = false;
  if (aSlot.mPhase == SlotPhase::Recovering) {
    link.mGone = link.mGone || aGone;
    link.mLost = true;
    TryServe(aSlot, aNowMs, actions);
  }
  return actions;
}

RecordActions
StoreUnreachable(Slot& aSlot, TimeMs aNowMs)
{
  RecordActions actions;
  if (aSlot.mStoreReachable) {
    aSlot.mStoreReachable = false;
    if (IsServing(aSlot)) {
      ClaimAtWitnesses(aSlot, aNowMs, actions);
    }
  }
  return actions;
}

RecordActions
StoreReachable(Slot& aSlot, TimeMs aNowMs)
{
  RecordActions actions;
  if (aSlot.mStoreReachable) {
    return actions;
  }
  aSlot.mStoreReachable = true;
  // The queue has every claim in order; those that wait go to the store.
  aSlot.mForWitnesses.clear();
  aSlot.mHeldItems = aSlot.mQueue.size() +
                     (aSlot.mInFlight ? aSlot.mInFlight->mItems.size() : 0);
  Flush(aSlot, aNowMs, actions);
  DropHeldClaims(aSlot, actions);
  return actions;
}

RecordActions
WitnessAcked(Slot& aSlot, int aWitness, std::int64_t aRound, TimeMs aNowMs)
{
  RecordActions actions;
  if (!aSlot.mRoundOpen || aRound != aSlot.mRound) {
    return actions;
  }
  auto& links = aSlot.mLinks;
  links.at(static_cast<std::size_t>(aWitness)).mAcked = true;
  int acks = static_cast<int>(links[0].mAcked) + links[1].mAcked;
  if (acks < aSlot.mOptions.mWitnessAcks) {
    return actions;
  }
  aSlot.mRoundOpen = false;
  std::vector<Claim> claims;
  claims.swap(aSlot.mRoundClaims);
  for (const auto& claim : claims) {
    CommitClaim(aSlot, claim, actions);
  }
  SendRound(aSlot, actions);
  DropHeldClaims(aSlot, actions);
  Flush(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
WitnessRefused(Slot& aSlot, int aWitness, TimeMs aNowMs)
{
  RecordActions actions;
  if (aSlot.mPhase == SlotPhase::Recovering) {
    return ClaimsNotFetched(aSlot, aWitness, true, aNowMs);
  }
  if (IsServing(aSlot)) {
    StepDown(aSlot, actions);
  }
  return actions;
}

RecordActions
WitnessLost(Slot& aSlot, int aWitness, TimeMs aNowMs)
{
  RecordActions actions;
  aSlot.mLinks.at(static_cast<std::size_t>(aWitness)).mLost = true;
  aSlot.mRoundOpen = false;
  if (!aSlot.mStoreReachable && IsServing(aSlot) &&
      aSlot.mOptions.mWitnessAcks > 0) {
    FailClaims(aSlot, aNowMs, actions);
  }
  DropHeldClaims(aSlot, actions);
  return actions;
}

RecordActions
WitnessReturned(Slot& aSlot, int aWitness, TimeMs /*aNowMs*/)
{
  aSlot.mLinks.at(static_cast<std::size_t>(aWitness)).mLost = false;
  return {};
}

RecordActions
ProposeWitnesses(Slot& aSlot,
                 const std::array<AgentName, 2>& aWitnesses,
                 TimeMs aNowMs)
{
  RecordActions actions;
  std::vector<AgentName> named(aWitnesses.begin(), aWitnesses.end());
  if (aSlot.mPhase != SlotPhase::Serving || aSlot.mStatusWrite ||
      aSlot.mWitnessesHold || !aSlot.mStoreReachable ||
      aSlot.mStatus.mWitnesses == named) {
    return actions;
  }
  ChangeStatus(aSlot, aNowMs, actions, [&named](SlotStatus& aStatus) {
    aStatus.mWitnesses = named;
  });
  return actions;
}

RecordActions
Release(Slot& aSlot, bool aForce, TimeMs aNowMs)
{
  RecordActions actions;
  aSlot.mForceRelease = aSlot.mForceRelease || aForce;
  if (aSlot.mPhase == SlotPhase::Serving) {
    aSlot.mPhase = SlotPhase::Draining;
  } else if (aSlot.mPhase != SlotPhase::Draining &&
             aSlot.mPhase != SlotPhase::Released &&
             aSlot.mPhase != SlotPhase::Lost) {
    // Not serving yet: the status stays as it is and the lease runs out.
    StepDown(aSlot, actions);
    return actions;
  }
  TryRelease(aSlot, aNowMs, actions);
  return actions;
}

} // namespace savory
