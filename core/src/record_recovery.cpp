#include "savory/core/record.h"

#include "record_detail.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

using namespace record_detail;

namespace {

// Replays one item into the key table of a new owner. Items are replayed in the
// order in which they were written.
void
RecoverItem(Slot& aSlot, const RecordItem& aItem)
{
  const Claim& claim = aItem.mClaim;
  std::string key = MakeMapKey(claim);
  auto found = aSlot.mKeys.find(key);
  KeyState* state = found == aSlot.mKeys.end() ? nullptr : &found->second;
  if (state != nullptr && !IsNewerClaim(claim, *state) &&
      !IsSameClaim(claim, *state)) {
    return;
  }
  if (state == nullptr || IsNewerClaim(claim, *state)) {
    if (state != nullptr) {
      // An earlier owner claimed the key again, because it had not run or its
      // outcome had expired.
      SetOutcome(aSlot, *state, nullptr);
    }
    state = &FindOrAddKey(aSlot, key, claim.mClaimedMs);
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

// Writes the status as modified by aChange.
template<class Change>
void
ChangeStatus(Slot& aSlot,
             TimeMs aNowMs,
             RecordActions& aActions,
             Change aChange)
{
  SlotStatus status = aSlot.mStatus;
  ++status.mWriteCount;
  status.mIncompleteUntilMs = aSlot.mIncompleteUntilMs;
  aChange(status);
  WriteStatus write{ aSlot.mStatus, status };
  aSlot.mStatusWrite = StatusInFlight{ write, false, aNowMs };
  aActions.emplace_back(std::move(write));
}

// Whether recovery need not wait for the witnesses any longer. Sets aIncomplete
// when claims that only they hold may be lost.
bool
AreWitnessClaimsKnown(const Slot& aSlot, TimeMs aNowMs, bool& aIncomplete)
{
  if (aSlot.mStatus.mWitnesses.empty() || !aSlot.mOptions.mFetchOnTakeOver) {
    return true;
  }
  // One witness is enough: each claim was acknowledged by both.
  const auto& witnesses = aSlot.mWitnessStates;
  if (witnesses[0].mFetched || witnesses[1].mFetched) {
    return true;
  }
  bool timedOut =
    aNowMs - aSlot.mRecoveryStartMs >= aSlot.mOptions.mFetchTimeoutMs;
  aIncomplete = (witnesses[0].mReplaced && witnesses[1].mReplaced) || timedOut;
  return aIncomplete;
}

// Starts serving once the record was read and the witnesses' claims are known.
void
TryStartServing(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  // 1. Wait for the store and the witnesses.
  bool incomplete = false;
  if (aSlot.mPhase != SlotPhase::Recovering || !aSlot.mRecordRead ||
      !AreWitnessClaimsKnown(aSlot, aNowMs, incomplete)) {
    return;
  }
  // 2. Replay what earlier owners wrote, oldest first.
  std::sort(aSlot.mReadBatches.begin(),
            aSlot.mReadBatches.end(),
            [](const RecordBatch& aLeft, const RecordBatch& aRight) {
              return std::pair(aLeft.mEpoch, aLeft.mSequence) <
                     std::pair(aRight.mEpoch, aRight.mSequence);
            });
  std::int64_t oldestKeptMs =
    UnixMs(aSlot, aNowMs) - aSlot.mOptions.mRetentionMs;
  for (const auto& batch : aSlot.mReadBatches) {
    aSlot.mBatches.push_back(
      { batch.mEpoch, batch.mSequence, batch.mWrittenMs });
    for (const auto& item : batch.mItems) {
      bool honored = aSlot.mOptions.mHonorEarlierClaims ||
                     item.mKind == RecordItemKind::Outcome;
      if (honored && item.mClaim.mClaimedMs > oldestKeptMs) {
        RecoverItem(aSlot, item);
      }
    }
  }
  aSlot.mReadBatches.clear();
  // 3. Add claims that only a witness holds. They are written first.
  for (const auto& claim : aSlot.mFetchedClaims) {
    auto found = aSlot.mKeys.find(MakeMapKey(claim));
    bool unwritten =
      found == aSlot.mKeys.end() || IsNewerClaim(claim, found->second);
    if (unwritten && claim.mClaimedMs > oldestKeptMs) {
      RecordItem item{ RecordItemKind::Claim, claim, nullptr };
      RecoverItem(aSlot, item);
      Enqueue(aSlot, aSlot.mKeys.at(MakeMapKey(claim)), std::move(item));
    }
  }
  aSlot.mFetchedClaims.clear();
  aSlot.mHeldItemsToWrite = aSlot.mWriteQueue.size();
  aSlot.mWitnessesHoldClaims = !aSlot.mStatus.mWitnesses.empty() && !incomplete;
  // 4. Order the expiry queue by the time of the claims.
  std::stable_sort(aSlot.mExpiryQueue.begin(),
                   aSlot.mExpiryQueue.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.first < aRight.first;
                   });
  aSlot.mPhase = SlotPhase::Serving;
  if (incomplete) {
    aSlot.mIncompleteUntilMs =
      UnixMs(aSlot, aNowMs) + aSlot.mOptions.mRetentionMs;
  }
  if (aSlot.mIncompleteUntilMs != aSlot.mStatus.mIncompleteUntilMs) {
    // Stored so that the next owner knows even when it has no witness to ask.
    ChangeStatus(aSlot, aNowMs, aActions, [incomplete](SlotStatus& aStatus) {
      if (incomplete) {
        aStatus.mWitnesses.clear();
      }
    });
  }
  Flush(aSlot, aNowMs, aActions);
  DiscardHeldClaims(aSlot, aActions);
}

void
FetchWitnessClaims(Slot& aSlot, RecordActions& aActions)
{
  if (!aSlot.mOptions.mFetchOnTakeOver) {
    return;
  }
  for (std::size_t i = 0; i < aSlot.mStatus.mWitnesses.size(); ++i) {
    auto& witness = aSlot.mWitnessStates[i];
    if (!witness.mFetched && !witness.mReplaced && !witness.mFetchInFlight) {
      witness.mFetchInFlight = true;
      aActions.push_back(FetchClaims{ static_cast<int>(i),
                                      aSlot.mStatus.mWitnesses[i],
                                      aSlot.mStatus.mEpoch });
    }
  }
}

// Refuses the calls whose claims neither the store nor the witnesses can
// commit.
void
RefuseUncommittedClaims(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  aSlot.mUnsentClaims.clear();
  aSlot.mRoundClaims.clear();
  aSlot.mRoundInFlight = false;
  std::vector<Claim> failed;
  auto collect = [&aSlot, &failed](const RecordItem& aItem) {
    auto found = aSlot.mKeys.find(MakeMapKey(aItem.mClaim));
    if (aItem.mKind == RecordItemKind::Claim && found != aSlot.mKeys.end() &&
        found->second.mPhase == KeyPhase::Claiming &&
        IsSameClaim(aItem.mClaim, found->second)) {
      failed.push_back(aItem.mClaim);
    }
  };
  if (aSlot.mBatchInFlight) {
    std::for_each(aSlot.mBatchInFlight->mItems.begin(),
                  aSlot.mBatchInFlight->mItems.end(),
                  collect);
  }
  std::for_each(aSlot.mWriteQueue.begin(), aSlot.mWriteQueue.end(), collect);
  for (auto& claim : failed) {
    KeyState& state = aSlot.mKeys.at(MakeMapKey(claim));
    state.mPhase = KeyPhase::NotRun;
    AnswerCall refusal{ .mOutcome = nullptr,
                        .mReplayed = false,
                        .mCode = ErrorCode::RecordUnavailable,
                        .mExecution = ProveNotRun(aSlot, aNowMs),
                        .mReason = "the store and a witness are unreachable" };
    AnswerWaitingCalls(aSlot, state, refusal, aActions);
    Enqueue(
      aSlot, state, { RecordItemKind::NotRun, std::move(claim), nullptr });
  }
}

// Sends the claims that wait for the store to the witnesses.
void
SendClaimsToWitnesses(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  if (!CanClaimWithoutStore(aSlot)) {
    RefuseUncommittedClaims(aSlot, aNowMs, aActions);
    return;
  }
  std::vector<Claim> waiting;
  auto collect = [&aSlot, &waiting](const RecordItem& aItem) {
    auto found = aSlot.mKeys.find(MakeMapKey(aItem.mClaim));
    if (aItem.mKind == RecordItemKind::Claim && found != aSlot.mKeys.end() &&
        found->second.mPhase == KeyPhase::Claiming &&
        IsSameClaim(aItem.mClaim, found->second)) {
      waiting.push_back(aItem.mClaim);
    }
  };
  if (aSlot.mBatchInFlight) {
    std::for_each(aSlot.mBatchInFlight->mItems.begin(),
                  aSlot.mBatchInFlight->mItems.end(),
                  collect);
  }
  std::for_each(aSlot.mWriteQueue.begin(), aSlot.mWriteQueue.end(), collect);
  if (aSlot.mOptions.mWitnessAcks == 0) {
    for (const auto& claim : waiting) {
      CommitClaim(aSlot, claim, aActions);
    }
    return;
  }
  aSlot.mUnsentClaims = std::move(waiting);
  SendClaimRound(aSlot, aActions);
}

void
OnStatusWritten(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  SlotStatus before = std::move(aSlot.mStatus);
  aSlot.mStatus = aSlot.mStatusWrite->mWrite.mDesired;
  aSlot.mStatusWrite.reset();
  if (aSlot.mReleasing) {
    aSlot.mPhase = SlotPhase::Released;
    aActions.push_back(SlotOwnershipLost{ true });
    return;
  }
  if (aSlot.mPhase == SlotPhase::TakingOver) {
    aSlot.mPhase = SlotPhase::Recovering;
    aSlot.mIncompleteUntilMs = aSlot.mStatus.mIncompleteUntilMs;
    aSlot.mRecoveryStartMs = aNowMs;
    aSlot.mLastRecoveryTryMs = aNowMs;
    aSlot.mReadInFlight = true;
    aActions.push_back(ReadRecord{});
    FetchWitnessClaims(aSlot, aActions);
    return;
  }
  if (before.mWitnesses != aSlot.mStatus.mWitnesses) {
    aSlot.mWitnessStates = {};
  }
}

} // namespace

namespace record_detail {

void
StepDown(Slot& aSlot, RecordActions& aActions)
{
  aSlot.mPhase = SlotPhase::Lost;
  aSlot.mLeaseUntilMs = -1;
  aSlot.mQueueBase += static_cast<std::int64_t>(aSlot.mWriteQueue.size());
  aSlot.mWriteQueue.clear();
  aSlot.mQueueBytes = 0;
  aSlot.mBatchInFlight.reset();
  aSlot.mStatusWrite.reset();
  aSlot.mUnsentClaims.clear();
  aSlot.mRoundClaims.clear();
  aSlot.mRoundInFlight = false;
  // The new owner may claim the keys of calls that were not dispatched, so
  // nothing is known of those keys. Running calls are answered when they end.
  std::vector<const std::string*> claiming;
  for (const auto& [call, key] : aSlot.mKeyByCall) {
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
    AnswerWaitingCalls(aSlot, aSlot.mKeys.at(*key), refusal, aActions);
  }
  aActions.push_back(SlotOwnershipLost{ false });
}

bool
CanClaimWithoutStore(const Slot& aSlot)
{
  return aSlot.mOptions.mWitnessAcks == 0 || WitnessesReady(aSlot);
}

void
SendClaimRound(Slot& aSlot, RecordActions& aActions)
{
  if (aSlot.mRoundInFlight || aSlot.mUnsentClaims.empty()) {
    return;
  }
  // A message is limited to the size of a store value.
  std::size_t bytes = 0;
  std::size_t count = 0;
  for (const auto& claim : aSlot.mUnsentClaims) {
    bytes += MaxEncodedBytes({ RecordItemKind::Claim, claim, nullptr });
    if (count > 0 && bytes > aSlot.mOptions.mMaxBatchBytes) {
      break;
    }
    ++count;
  }
  auto end = aSlot.mUnsentClaims.begin() + static_cast<std::ptrdiff_t>(count);
  aSlot.mRoundClaims.assign(aSlot.mUnsentClaims.begin(), end);
  aSlot.mUnsentClaims.erase(aSlot.mUnsentClaims.begin(), end);
  ++aSlot.mRound;
  aSlot.mRoundInFlight = true;
  aSlot.mWitnessesHoldClaims = true;
  for (int i = 0; i < 2; ++i) {
    aSlot.mWitnessStates[i].mAcked = false;
    aActions.push_back(SendClaims{ i,
                                   aSlot.mStatus.mWitnesses[i],
                                   aSlot.mStatus.mEpoch,
                                   aSlot.mRound,
                                   aSlot.mRoundClaims });
  }
}

void
DiscardHeldClaims(Slot& aSlot, RecordActions& aActions)
{
  if (!IsServing(aSlot) || !aSlot.mWitnessesHoldClaims ||
      !aSlot.mStoreReachable || aSlot.mRoundInFlight ||
      aSlot.mHeldItemsToWrite > 0) {
    return;
  }
  aSlot.mWitnessesHoldClaims = false;
  for (const auto& witness : aSlot.mStatus.mWitnesses) {
    aActions.push_back(
      DiscardClaims{ witness, aSlot.mStatus.mEpoch, aSlot.mRound });
  }
}

void
TryRelease(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  bool unwritten = !aSlot.mWriteQueue.empty() || aSlot.mBatchInFlight ||
                   aSlot.mStatusWrite || aSlot.mWitnessesHoldClaims;
  bool busy = !aSlot.mRunningClaims.empty() && !aSlot.mForceRelease;
  if (aSlot.mPhase != SlotPhase::Draining || aSlot.mReleasing || unwritten ||
      busy || !aSlot.mStoreReachable) {
    return;
  }
  // A released slot can be taken over without waiting for the lease, so the
  // lease proves nothing from here on.
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
      aNowMs < aSlot.mLastRecoveryTryMs + aSlot.mOptions.mRetryIntervalMs) {
    return;
  }
  aSlot.mLastRecoveryTryMs = aNowMs;
  if (!aSlot.mRecordRead && !aSlot.mReadInFlight) {
    aSlot.mReadInFlight = true;
    aActions.push_back(ReadRecord{});
  }
  FetchWitnessClaims(aSlot, aActions);
  TryStartServing(aSlot, aNowMs, aActions);
}

void
RetryStatusWrite(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  if (aSlot.mStatusWrite && aSlot.mStatusWrite->mRetryPending &&
      aNowMs >= aSlot.mStatusWrite->mSentMs + aSlot.mOptions.mRetryIntervalMs) {
    aSlot.mStatusWrite->mRetryPending = false;
    aSlot.mStatusWrite->mSentMs = aNowMs;
    aActions.push_back(aSlot.mStatusWrite->mWrite);
  }
}

} // namespace record_detail

bool
WitnessesReady(const Slot& aSlot)
{
  // While a write of the status is in flight, it is unknown which witnesses a
  // new owner would ask.
  const auto& witnesses = aSlot.mStatus.mWitnesses;
  return !aSlot.mStatusWrite && witnesses.size() == 2 &&
         !aSlot.mWitnessStates[0].mUnreachable &&
         !aSlot.mWitnessStates[1].mUnreachable &&
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
  // The status names the witnesses of the earlier owner until the store holds
  // their claims, so that a failure of this owner loses none of them.
  SlotStatus status = aCurrent.value_or(SlotStatus{});
  status.mOwner = aSlot.mSelf;
  ++status.mEpoch;
  ++status.mWriteCount;
  status.mClean = false;
  WriteStatus write{ aCurrent, status };
  aSlot.mPhase = SlotPhase::TakingOver;
  aSlot.mStatusWrite = StatusInFlight{ write, false, aNowMs };
  actions.emplace_back(std::move(write));
  return actions;
}

RecordActions
OnStatusAnswer(Slot& aSlot,
               StoreAnswer aAnswer,
               const std::optional<SlotStatus>& aCurrent,
               TimeMs aNowMs)
{
  RecordActions actions;
  if (!aSlot.mStatusWrite) {
    return actions;
  }
  bool applied = aAnswer == StoreAnswer::Conflict && aCurrent &&
                 *aCurrent == aSlot.mStatusWrite->mWrite.mDesired;
  if (aAnswer == StoreAnswer::Written || applied) {
    OnStatusWritten(aSlot, aNowMs, actions);
    TryRelease(aSlot, aNowMs, actions);
  } else if (aAnswer == StoreAnswer::Conflict) {
    // Only owners write the status, so another agent has taken the slot over.
    StepDown(aSlot, actions);
  } else {
    aSlot.mStatusWrite->mRetryPending = true;
    aSlot.mStatusWrite->mSentMs = aNowMs;
  }
  return actions;
}

void
OnLeaseRenewed(Slot& aSlot, TimeMs aSentMs)
{
  if (!aSlot.mReleasing && aSlot.mPhase != SlotPhase::Lost) {
    aSlot.mLeaseUntilMs = std::max(aSlot.mLeaseUntilMs,
                                   aSentMs + aSlot.mOptions.mLeaseMs -
                                     aSlot.mOptions.mLeaseMarginMs);
  }
}

RecordActions
OnRecordRead(Slot& aSlot,
             const std::optional<std::vector<std::string>>& aValues,
             TimeMs aNowMs)
{
  RecordActions actions;
  if (aSlot.mPhase != SlotPhase::Recovering || aSlot.mRecordRead) {
    return actions;
  }
  aSlot.mReadInFlight = false;
  if (!aValues) {
    return actions;
  }
  aSlot.mRecordRead = true;
  for (const auto& text : *aValues) {
    auto batch = ParseRecordBatch(text);
    if (batch) {
      aSlot.mReadBatches.push_back(std::move(*batch));
    } else {
      aSlot.mIncompleteUntilMs =
        UnixMs(aSlot, aNowMs) + aSlot.mOptions.mRetentionMs;
    }
  }
  TryStartServing(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
OnClaimsFetched(Slot& aSlot,
                int aWitnessIndex,
                const std::vector<Claim>& aClaims,
                TimeMs aNowMs)
{
  RecordActions actions;
  auto& witness =
    aSlot.mWitnessStates.at(static_cast<std::size_t>(aWitnessIndex));
  witness.mFetchInFlight = false;
  if (aSlot.mPhase == SlotPhase::Recovering) {
    witness.mFetched = true;
    witness.mUnreachable = false;
    aSlot.mFetchedClaims.insert(
      aSlot.mFetchedClaims.end(), aClaims.begin(), aClaims.end());
    TryStartServing(aSlot, aNowMs, actions);
  }
  return actions;
}

RecordActions
OnClaimsFetchFailed(Slot& aSlot,
                    int aWitnessIndex,
                    bool aReplaced,
                    TimeMs aNowMs)
{
  RecordActions actions;
  auto& witness =
    aSlot.mWitnessStates.at(static_cast<std::size_t>(aWitnessIndex));
  witness.mFetchInFlight = false;
  if (aSlot.mPhase == SlotPhase::Recovering) {
    witness.mReplaced = witness.mReplaced || aReplaced;
    witness.mUnreachable = true;
    TryStartServing(aSlot, aNowMs, actions);
  }
  return actions;
}

RecordActions
OnStoreUnreachable(Slot& aSlot, TimeMs aNowMs)
{
  RecordActions actions;
  if (aSlot.mStoreReachable) {
    aSlot.mStoreReachable = false;
    if (IsServing(aSlot)) {
      SendClaimsToWitnesses(aSlot, aNowMs, actions);
    }
  }
  return actions;
}

RecordActions
OnStoreReachable(Slot& aSlot, TimeMs aNowMs)
{
  RecordActions actions;
  if (aSlot.mStoreReachable) {
    return actions;
  }
  aSlot.mStoreReachable = true;
  // The write queue holds every claim in order; claims that were not yet sent
  // to the witnesses go to the store.
  aSlot.mUnsentClaims.clear();
  aSlot.mHeldItemsToWrite =
    aSlot.mWriteQueue.size() +
    (aSlot.mBatchInFlight ? aSlot.mBatchInFlight->mItems.size() : 0);
  Flush(aSlot, aNowMs, actions);
  DiscardHeldClaims(aSlot, actions);
  return actions;
}

RecordActions
OnWitnessAck(Slot& aSlot, int aWitnessIndex, std::int64_t aRound, TimeMs aNowMs)
{
  RecordActions actions;
  if (!aSlot.mRoundInFlight || aRound != aSlot.mRound) {
    return actions;
  }
  auto& witnesses = aSlot.mWitnessStates;
  witnesses.at(static_cast<std::size_t>(aWitnessIndex)).mAcked = true;
  int acks = static_cast<int>(witnesses[0].mAcked) + witnesses[1].mAcked;
  if (acks < aSlot.mOptions.mWitnessAcks) {
    return actions;
  }
  aSlot.mRoundInFlight = false;
  std::vector<Claim> claims;
  claims.swap(aSlot.mRoundClaims);
  for (const auto& claim : claims) {
    CommitClaim(aSlot, claim, actions);
  }
  SendClaimRound(aSlot, actions);
  DiscardHeldClaims(aSlot, actions);
  Flush(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
OnWitnessRefusal(Slot& aSlot, int aWitnessIndex, TimeMs aNowMs)
{
  RecordActions actions;
  if (aSlot.mPhase == SlotPhase::Recovering) {
    return OnClaimsFetchFailed(aSlot, aWitnessIndex, true, aNowMs);
  }
  if (IsServing(aSlot)) {
    StepDown(aSlot, actions);
  }
  return actions;
}

RecordActions
OnWitnessLost(Slot& aSlot, int aWitnessIndex, TimeMs aNowMs)
{
  RecordActions actions;
  aSlot.mWitnessStates.at(static_cast<std::size_t>(aWitnessIndex))
    .mUnreachable = true;
  aSlot.mRoundInFlight = false;
  if (!aSlot.mStoreReachable && IsServing(aSlot) &&
      aSlot.mOptions.mWitnessAcks > 0) {
    RefuseUncommittedClaims(aSlot, aNowMs, actions);
  }
  DiscardHeldClaims(aSlot, actions);
  return actions;
}

RecordActions
OnWitnessReturned(Slot& aSlot, int aWitnessIndex, TimeMs /*aNowMs*/)
{
  aSlot.mWitnessStates.at(static_cast<std::size_t>(aWitnessIndex))
    .mUnreachable = false;
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
      aSlot.mWitnessesHoldClaims || !aSlot.mStoreReachable ||
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
    // Not serving yet: leave the status unchanged and let the lease expire.
    StepDown(aSlot, actions);
    return actions;
  }
  TryRelease(aSlot, aNowMs, actions);
  return actions;
}

} // namespace savory
