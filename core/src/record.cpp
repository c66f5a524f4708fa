#include "savory/core/record.h"

#include "record_detail.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace savory {

using namespace record_detail;

namespace {

constexpr std::size_t kMaxKeyChars = 255;
// Outcomes with longer headers are recorded without headers and body, so that
// every outcome fits into a batch.
constexpr std::size_t kMaxHeaderBytes = 16 << 10;

// Returns the outcome to record: without headers and body if they are too long.
std::shared_ptr<const Outcome>
ToRecordedOutcome(const RecordOptions& aOptions,
                  const std::shared_ptr<const Outcome>& aOutcome)
{
  std::size_t headers = 0;
  for (const auto& [name, value] : aOutcome->mHeaders) {
    headers += name.size() + value.size();
  }
  if (aOutcome->mBody.size() > aOptions.mMaxOutcomeBytes ||
      headers > kMaxHeaderBytes) {
    return WithoutBody(*aOutcome);
  }
  return aOutcome;
}

bool
IsValidKey(const std::string& aKey)
{
  return !aKey.empty() && aKey.size() <= kMaxKeyChars &&
         std::all_of(aKey.begin(), aKey.end(), [](char aChar) {
           return aChar > 32 && aChar < 127;
         });
}

AnswerCall
MakeRefusal(CallId aCall,
            ErrorCode aCode,
            ExecutionState aExecution,
            const char* aReason)
{
  return { .mCall = aCall,
           .mOutcome = nullptr,
           .mReplayed = false,
           .mCode = aCode,
           .mExecution = aExecution,
           .mReason = aReason };
}

// Returns what is known of the execution of a key whose call is refused.
ExecutionState
EvaluateExecution(const Slot& aSlot, const KeyState& aState, TimeMs aNowMs)
{
  switch (aState.mPhase) {
    case KeyPhase::Done:
      return ExecutionState::Ran;
    case KeyPhase::NotRun:
      return ProveNotRun(aSlot, aNowMs);
    default:
      return ExecutionState::Unknown;
  }
}

// Answers a call whose key is in the record, or lets it wait for the attempt in
// progress. Returns false when the key may be claimed again.
bool
AnswerKnownKey(Slot& aSlot,
               const KeyedCall& aCall,
               const std::string* aKey,
               KeyState& aState,
               TimeMs aNowMs,
               RecordActions& aActions)
{
  if (aSlot.mOptions.mCheckFingerprint &&
      aState.mFingerprint != aCall.mFingerprint) {
    aActions.push_back(MakeRefusal(aCall.mId,
                                   ErrorCode::KeyReused,
                                   EvaluateExecution(aSlot, aState, aNowMs),
                                   "the key was used for another call"));
    return true;
  }
  switch (aState.mPhase) {
    case KeyPhase::Done:
      if (!aState.mOutcome || !aState.mOutcome->mBodyKept) {
        aActions.push_back(
          MakeRefusal(aCall.mId,
                      ErrorCode::OutcomeUnknown,
                      ExecutionState::Ran,
                      "the call ran; its answer was not kept"));
      } else {
        aActions.push_back(AnswerCall{ .mCall = aCall.mId,
                                       .mOutcome = aState.mOutcome,
                                       .mReplayed = true,
                                       .mExecution = ExecutionState::Ran,
                                       .mReason = {} });
      }
      return true;
    case KeyPhase::Claiming:
    case KeyPhase::Running:
      if (!aSlot.mOptions.mJoinRunning) {
        return false;
      }
      aState.mWaitingCalls.push_back(aCall.mId);
      aSlot.mKeyByCall[aCall.mId] = aKey;
      return true;
    case KeyPhase::Unresolved:
      aActions.push_back(MakeRefusal(aCall.mId,
                                     ErrorCode::OutcomeUnknown,
                                     ExecutionState::Unknown,
                                     "an earlier attempt did not report back"));
      return true;
    case KeyPhase::NotRun:
      return false;
  }
  return true;
}

// Returns the refusal of a call whose key cannot be claimed now, or nullopt.
std::optional<AnswerCall>
RefuseNewKey(Slot& aSlot,
             const KeyedCall& aCall,
             const KeyState* aState,
             TimeMs aNowMs)
{
  // 1. While the record is incomplete, a key that it lacks or has from an
  // earlier epoch may have run unrecorded.
  if (!IsComplete(aSlot, aNowMs) &&
      (aState == nullptr || aState->mEpoch != aSlot.mStatus.mEpoch)) {
    return MakeRefusal(aCall.mId,
                       ErrorCode::OutcomeUnknown,
                       ExecutionState::Unknown,
                       "the record of the slot is not complete");
  }
  // 2. The agent is shutting down.
  ExecutionState proof = ProveNotRun(aSlot, aNowMs);
  if (aSlot.mPhase == SlotPhase::Draining) {
    return MakeRefusal(
      aCall.mId, ErrorCode::Draining, proof, "the agent is leaving");
  }
  // 3. Neither the store nor the witnesses can commit the claim.
  if (!aSlot.mStoreReachable && !CanClaimWithoutStore(aSlot)) {
    return MakeRefusal(aCall.mId,
                       ErrorCode::RecordUnavailable,
                       proof,
                       "the store and a witness are unreachable");
  }
  // 4. The key does not fit into the memory bound or the write queue is full.
  std::size_t needed = KeyBytes(aCall.mCustomer + "\n" + aCall.mKey);
  if (aState == nullptr) {
    EvictBodies(aSlot, needed);
  }
  bool full =
    aState == nullptr && aSlot.mMemoryBytes + needed > aSlot.mOptions.mMaxBytes;
  if (full || aSlot.mQueueBytes > aSlot.mOptions.mMaxQueueBytes) {
    return MakeRefusal(
      aCall.mId, ErrorCode::Overloaded, proof, "the record is full");
  }
  return std::nullopt;
}

void
CommitBatch(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  BatchInFlight batch = std::move(*aSlot.mBatchInFlight);
  aSlot.mBatchInFlight.reset();
  aSlot.mBatches.push_back(
    { aSlot.mStatus.mEpoch, batch.mSequence, UnixMs(aSlot, aNowMs) });
  for (const auto& item : batch.mItems) {
    if (item.mKind == RecordItemKind::Claim) {
      CommitClaim(aSlot, item.mClaim, aActions);
    }
  }
  aSlot.mHeldItemsToWrite -=
    std::min(aSlot.mHeldItemsToWrite, batch.mItems.size());
  DiscardHeldClaims(aSlot, aActions);
  Flush(aSlot, aNowMs, aActions);
  TryRelease(aSlot, aNowMs, aActions);
}

} // namespace

namespace record_detail {

std::int64_t
UnixMs(const Slot& aSlot, TimeMs aNowMs)
{
  return aNowMs + aSlot.mUnixOffsetMs;
}

std::string
MakeMapKey(const Claim& aClaim)
{
  return aClaim.mCustomer + "\n" + aClaim.mKey;
}

ExecutionState
ProveNotRun(const Slot& aSlot, TimeMs aNowMs)
{
  if (!aSlot.mOptions.mProveByLease) {
    return ExecutionState::NotRun;
  }
  return IsComplete(aSlot, aNowMs) && aNowMs < aSlot.mLeaseUntilMs
           ? ExecutionState::NotRun
           : ExecutionState::Unknown;
}

bool
IsNewerClaim(const Claim& aClaim, const KeyState& aState)
{
  return std::tie(aClaim.mEpoch, aClaim.mClaimedMs, aClaim.mAttempt) >
         std::tie(aState.mEpoch, aState.mClaimedMs, aState.mAttempt);
}

bool
IsSameClaim(const Claim& aClaim, const KeyState& aState)
{
  return aClaim.mEpoch == aState.mEpoch && aClaim.mAttempt == aState.mAttempt;
}

void
AnswerWaitingCalls(Slot& aSlot,
                   KeyState& aState,
                   const AnswerCall& aAnswer,
                   RecordActions& aActions)
{
  for (CallId call : aState.mWaitingCalls) {
    AnswerCall answer = aAnswer;
    answer.mCall = call;
    // A call that joined another call's run gets its outcome as a replay.
    answer.mReplayed = aAnswer.mOutcome && call != aAnswer.mCall;
    aSlot.mKeyByCall.erase(call);
    aActions.emplace_back(std::move(answer));
  }
  std::vector<CallId>().swap(aState.mWaitingCalls);
}

void
CommitClaim(Slot& aSlot, const Claim& aClaim, RecordActions& aActions)
{
  auto found = aSlot.mKeys.find(MakeMapKey(aClaim));
  if (found == aSlot.mKeys.end()) {
    return;
  }
  KeyState& state = found->second;
  if (state.mPhase != KeyPhase::Claiming || !IsSameClaim(aClaim, state)) {
    return;
  }
  if (state.mWaitingCalls.empty()) {
    state.mPhase = KeyPhase::NotRun;
    Enqueue(aSlot, state, { RecordItemKind::NotRun, aClaim, nullptr });
    return;
  }
  state.mPhase = KeyPhase::Running;
  CallId call = state.mWaitingCalls.front();
  aSlot.mRunningClaims[call] = aClaim;
  aActions.push_back(DispatchCall{ call, aClaim });
}

void
Flush(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  // 1. At most one write in flight and one per interval.
  bool serving = IsServing(aSlot);
  if (!serving || !aSlot.mStoreReachable || aSlot.mReleasing ||
      aNowMs < aSlot.mLastWriteMs + aSlot.mOptions.mWriteIntervalMs) {
    return;
  }
  std::int64_t epoch = aSlot.mStatus.mEpoch;
  bool conditional = aSlot.mOptions.mFenceWrites;
  if (aSlot.mBatchInFlight) {
    auto& batch = *aSlot.mBatchInFlight;
    if (batch.mState == BatchInFlight::State::ReadPending) {
      batch.mState = BatchInFlight::State::Reading;
      aSlot.mLastWriteMs = aNowMs;
      aActions.push_back(ReadBatch{ epoch, batch.mSequence });
    } else if (batch.mState == BatchInFlight::State::WritePending) {
      batch.mState = BatchInFlight::State::Writing;
      aSlot.mLastWriteMs = aNowMs;
      aActions.push_back(
        WriteBatch{ epoch, batch.mSequence, batch.mValue, conditional });
    }
    return;
  }
  if (aSlot.mWriteQueue.empty()) {
    return;
  }
  // 2. Fill the batch with as many items as fit into a store value.
  RecordBatch value{ .mEpoch = epoch,
                     .mSequence = aSlot.mNextSequence++,
                     .mWrittenMs = UnixMs(aSlot, aNowMs),
                     .mItems = {} };
  std::size_t bytes = 0;
  while (!aSlot.mWriteQueue.empty()) {
    std::size_t size = MaxEncodedBytes(aSlot.mWriteQueue.front());
    if (!value.mItems.empty() && bytes + size > aSlot.mOptions.mMaxBatchBytes) {
      break;
    }
    bytes += size;
    aSlot.mQueueBytes -= size;
    value.mItems.push_back(std::move(aSlot.mWriteQueue.front()));
    aSlot.mWriteQueue.pop_front();
    ++aSlot.mQueueBase;
  }
  // 3. Write it.
  std::string text = ToJson(value).dump();
  aActions.push_back(WriteBatch{ epoch, value.mSequence, text, conditional });
  aSlot.mBatchInFlight = BatchInFlight{ .mSequence = value.mSequence,
                                        .mItems = std::move(value.mItems),
                                        .mValue = std::move(text) };
  aSlot.mLastWriteMs = aNowMs;
}

} // namespace record_detail

Slot
MakeSlot(const AgentName& aSelf,
         const RecordOptions& aOptions,
         std::int64_t aUnixMs,
         TimeMs aNowMs)
{
  Slot slot;
  slot.mSelf = aSelf;
  slot.mOptions = aOptions;
  slot.mUnixOffsetMs = aUnixMs - aNowMs;
  return slot;
}

bool
IsServing(const Slot& aSlot)
{
  return aSlot.mPhase == SlotPhase::Serving ||
         aSlot.mPhase == SlotPhase::Draining;
}

bool
IsComplete(const Slot& aSlot, TimeMs aNowMs)
{
  return IsServing(aSlot) && aSlot.mIncompleteUntilMs <= UnixMs(aSlot, aNowMs);
}

std::size_t
RecordBytes(const Slot& aSlot)
{
  return aSlot.mMemoryBytes;
}

RecordActions
OnCallArrived(Slot& aSlot, const KeyedCall& aCall, TimeMs aNowMs)
{
  RecordActions actions;
  // 1. Refuse calls with an invalid key or to a slot that is not served.
  if (!IsValidKey(aCall.mKey) ||
      aCall.mCustomer.find('\n') != std::string::npos) {
    actions.push_back(
      MakeRefusal(aCall.mId,
                  ErrorCode::BadRequest,
                  ExecutionState::NotRun,
                  "the key is not 1 to 255 visible characters"));
    return actions;
  }
  if (aSlot.mPhase == SlotPhase::TakingOver ||
      aSlot.mPhase == SlotPhase::Recovering) {
    actions.push_back(MakeRefusal(aCall.mId,
                                  ErrorCode::RecordUnavailable,
                                  ExecutionState::Unknown,
                                  "the record of the slot is being read"));
    return actions;
  }
  if (!IsServing(aSlot)) {
    actions.push_back(MakeRefusal(aCall.mId,
                                  ErrorCode::NotOwner,
                                  ExecutionState::Unknown,
                                  "the agent does not own the slot"));
    return actions;
  }
  // 2. Answer from the record when it has the key.
  ExpireKeys(aSlot, aNowMs);
  std::string key = aCall.mCustomer + "\n" + aCall.mKey;
  auto found = aSlot.mKeys.find(key);
  KeyState* known = found == aSlot.mKeys.end() ? nullptr : &found->second;
  if (known != nullptr &&
      AnswerKnownKey(aSlot, aCall, &found->first, *known, aNowMs, actions)) {
    return actions;
  }
  // 3. Claim the key.
  if (auto refusal = RefuseNewKey(aSlot, aCall, known, aNowMs)) {
    actions.emplace_back(std::move(*refusal));
    return actions;
  }
  std::int64_t attempt = known == nullptr ? 1 : known->mAttempt + 1;
  Claim claim{ .mCustomer = aCall.mCustomer,
               .mKey = aCall.mKey,
               .mFingerprint = aCall.mFingerprint,
               .mRequestId = aCall.mRequestId,
               .mEpoch = aSlot.mStatus.mEpoch,
               .mAttempt = attempt,
               .mClaimedMs = UnixMs(aSlot, aNowMs) };
  KeyState& state = FindOrAddKey(aSlot, key, claim.mClaimedMs);
  state.mPhase = KeyPhase::Claiming;
  state.mFingerprint = aCall.mFingerprint;
  state.mEpoch = claim.mEpoch;
  state.mAttempt = attempt;
  state.mWaitingCalls.insert(state.mWaitingCalls.begin(), aCall.mId);
  aSlot.mKeyByCall[aCall.mId] = &aSlot.mKeys.find(key)->first;
  // 4. Commit the claim to the store or, during an outage of the store, to the
  // witnesses first.
  Enqueue(aSlot, state, { RecordItemKind::Claim, claim, nullptr });
  bool commitWithoutCopy =
    !aSlot.mStoreReachable && aSlot.mOptions.mWitnessAcks == 0;
  if (!aSlot.mOptions.mClaimBeforeRun || commitWithoutCopy) {
    CommitClaim(aSlot, claim, actions);
  } else if (!aSlot.mStoreReachable) {
    aSlot.mUnsentClaims.push_back(std::move(claim));
    SendClaimRound(aSlot, actions);
  }
  Flush(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
OnCallCancelled(Slot& aSlot, CallId aCall, TimeMs aNowMs)
{
  RecordActions actions;
  auto found = aSlot.mKeyByCall.find(aCall);
  if (found == aSlot.mKeyByCall.end()) {
    return actions;
  }
  KeyState& state = aSlot.mKeys.at(*found->second);
  std::erase(state.mWaitingCalls, aCall);
  aSlot.mKeyByCall.erase(found);
  bool abandoned =
    state.mPhase == KeyPhase::Claiming && state.mWaitingCalls.empty();
  actions.push_back(MakeRefusal(aCall,
                                ErrorCode::DeadlineExceeded,
                                abandoned ? ProveNotRun(aSlot, aNowMs)
                                          : ExecutionState::Unknown,
                                "the caller's deadline passed"));
  return actions;
}

RecordActions
OnBatchAnswer(Slot& aSlot,
              std::int64_t aSequence,
              StoreAnswer aAnswer,
              TimeMs aNowMs)
{
  RecordActions actions;
  if (!aSlot.mBatchInFlight || aSlot.mBatchInFlight->mSequence != aSequence) {
    return actions;
  }
  auto& batch = *aSlot.mBatchInFlight;
  // Written and Conflict are final whenever they arrive; the other results
  // matter only while the write is in flight.
  if (aAnswer == StoreAnswer::Written) {
    CommitBatch(aSlot, aNowMs, actions);
  } else if (aAnswer == StoreAnswer::Conflict) {
    StepDown(aSlot, actions);
  } else if (batch.mState == BatchInFlight::State::Writing) {
    if (aAnswer == StoreAnswer::Lost && !aSlot.mOptions.mReadBack) {
      CommitBatch(aSlot, aNowMs, actions);
      return actions;
    }
    batch.mState = aAnswer == StoreAnswer::Lost
                     ? BatchInFlight::State::ReadPending
                     : BatchInFlight::State::WritePending;
    Flush(aSlot, aNowMs, actions);
  }
  return actions;
}

RecordActions
OnBatchReadBack(Slot& aSlot,
                std::int64_t aSequence,
                bool aReached,
                const std::optional<std::string>& aValue,
                TimeMs aNowMs)
{
  RecordActions actions;
  if (!aSlot.mBatchInFlight || aSlot.mBatchInFlight->mSequence != aSequence ||
      aSlot.mBatchInFlight->mState != BatchInFlight::State::Reading) {
    return actions;
  }
  auto& batch = *aSlot.mBatchInFlight;
  if (!aReached) {
    batch.mState = BatchInFlight::State::ReadPending;
  } else if (!aValue) {
    batch.mState = BatchInFlight::State::WritePending;
  } else if (*aValue == batch.mValue) {
    CommitBatch(aSlot, aNowMs, actions);
    return actions;
  } else {
    // Another process writes batches under this epoch.
    StepDown(aSlot, actions);
    return actions;
  }
  Flush(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
OnBackendAnswer(Slot& aSlot, CallId aCall, Outcome aOutcome, TimeMs aNowMs)
{
  RecordActions actions;
  auto running = aSlot.mRunningClaims.find(aCall);
  if (running == aSlot.mRunningClaims.end()) {
    return actions;
  }
  Claim claim = std::move(running->second);
  aSlot.mRunningClaims.erase(running);
  KeyState& state = aSlot.mKeys.at(MakeMapKey(claim));
  auto outcome = std::make_shared<const Outcome>(std::move(aOutcome));
  AnswerWaitingCalls(aSlot,
                     state,
                     { .mCall = aCall,
                       .mOutcome = outcome,
                       .mReplayed = false,
                       .mExecution = ExecutionState::Ran,
                       .mReason = {} },
                     actions);
  auto recorded = ToRecordedOutcome(aSlot.mOptions, outcome);
  if (IsServing(aSlot)) {
    Enqueue(aSlot, state, { RecordItemKind::Outcome, claim, recorded });
  }
  SetOutcome(aSlot, state, recorded);
  Flush(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
OnBackendConnectionLost(Slot& aSlot, CallId aCall, TimeMs aNowMs)
{
  RecordActions actions;
  auto running = aSlot.mRunningClaims.find(aCall);
  if (running == aSlot.mRunningClaims.end()) {
    return actions;
  }
  KeyState& state = aSlot.mKeys.at(MakeMapKey(running->second));
  aSlot.mRunningClaims.erase(running);
  state.mPhase = KeyPhase::Unresolved;
  AnswerWaitingCalls(aSlot,
                     state,
                     MakeRefusal(aCall,
                                 ErrorCode::BackendFailed,
                                 ExecutionState::Unknown,
                                 "the backend server failed during the call"),
                     actions);
  TryRelease(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
OnBackendNotReached(Slot& aSlot, CallId aCall, TimeMs aNowMs)
{
  RecordActions actions;
  auto running = aSlot.mRunningClaims.find(aCall);
  if (running == aSlot.mRunningClaims.end()) {
    return actions;
  }
  Claim claim = std::move(running->second);
  aSlot.mRunningClaims.erase(running);
  KeyState& state = aSlot.mKeys.at(MakeMapKey(claim));
  state.mPhase = KeyPhase::NotRun;
  // The committed claim keeps every other agent from running the key, so
  // NotRun is proven even without a lease.
  AnswerWaitingCalls(aSlot,
                     state,
                     MakeRefusal(aCall,
                                 ErrorCode::NoBackend,
                                 ExecutionState::NotRun,
                                 "the backend server was not reached"),
                     actions);
  if (IsServing(aSlot)) {
    Enqueue(aSlot, state, { RecordItemKind::NotRun, claim, nullptr });
  }
  Flush(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
Tick(Slot& aSlot, TimeMs aNowMs)
{
  RecordActions actions;
  ExpireKeys(aSlot, aNowMs);
  RetryStatusWrite(aSlot, aNowMs, actions);
  RetryRecovery(aSlot, aNowMs, actions);
  Flush(aSlot, aNowMs, actions);
  DiscardHeldClaims(aSlot, actions);
  TryRelease(aSlot, aNowMs, actions);
  // A batch is deleted once every claim in it has expired. An Outcome item may
  // be in a later batch than its claim and does not depend on that claim's
  // item.
  std::int64_t oldestKeptMs =
    UnixMs(aSlot, aNowMs) - aSlot.mOptions.mRetentionMs;
  while (IsServing(aSlot) && aSlot.mStoreReachable && !aSlot.mBatches.empty() &&
         aSlot.mBatches.front().mWrittenMs < oldestKeptMs) {
    const auto& batch = aSlot.mBatches.front();
    actions.push_back(DeleteBatch{ batch.mEpoch, batch.mSequence });
    aSlot.mBatches.pop_front();
  }
  return actions;
}

std::optional<TimeMs>
NextDueMs(const Slot& aSlot)
{
  std::optional<TimeMs> due;
  auto consider = [&due](TimeMs aAt) { due = due ? std::min(*due, aAt) : aAt; };
  const auto& options = aSlot.mOptions;
  if (IsServing(aSlot) && aSlot.mStoreReachable) {
    bool waiting =
      aSlot.mBatchInFlight
        ? aSlot.mBatchInFlight->mState == BatchInFlight::State::ReadPending ||
            aSlot.mBatchInFlight->mState == BatchInFlight::State::WritePending
        : !aSlot.mWriteQueue.empty();
    if (waiting) {
      consider(aSlot.mLastWriteMs + options.mWriteIntervalMs);
    }
    if (!aSlot.mBatches.empty()) {
      consider(aSlot.mBatches.front().mWrittenMs - aSlot.mUnixOffsetMs +
               options.mRetentionMs + 1);
    }
  }
  if (aSlot.mStatusWrite && aSlot.mStatusWrite->mRetryPending) {
    consider(aSlot.mStatusWrite->mSentMs + options.mRetryIntervalMs);
  }
  if (aSlot.mPhase == SlotPhase::Recovering) {
    consider(aSlot.mLastRecoveryTryMs + options.mRetryIntervalMs);
  }
  if (!aSlot.mExpiryQueue.empty()) {
    consider(aSlot.mExpiryQueue.front().first - aSlot.mUnixOffsetMs +
             options.mRetentionMs);
  }
  return due;
}

} // namespace savory
