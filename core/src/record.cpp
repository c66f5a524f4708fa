#include "savory/core/record.h"

#include "record_detail.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace savory {

using namespace record_detail;

namespace {

constexpr std::size_t kMaxKeyChars = 255;
// Headers beyond this are not recorded, so that a batch holds any outcome.
constexpr std::size_t kMaxHeaderBytes = 16 << 10;

// The outcome as it is recorded.
std::shared_ptr<const Outcome>
Recorded(const RecordOptions& aOptions,
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
Refusal(CallId aCall,
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

// What is known of the run of a key that another call asks for.
ExecutionState
RanOf(const Slot& aSlot, const KeyState& aState, TimeMs aNowMs)
{
  switch (aState.mPhase) {
    case KeyPhase::Done:
      return ExecutionState::Ran;
    case KeyPhase::NotRun:
      return ProofOfNotRun(aSlot, aNowMs);
    default:
      return ExecutionState::Unknown;
  }
}

// Answers a call whose key the record has; false when the key may be claimed.
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
    aActions.push_back(Refusal(aCall.mId,
                               ErrorCode::KeyReused,
                               RanOf(aSlot, aState, aNowMs),
                               "the key was used for another call"));
    return true;
  }
  switch (aState.mPhase) {
    case KeyPhase::Done:
      if (!aState.mOutcome || !aState.mOutcome->mKept) {
        aActions.push_back(Refusal(aCall.mId,
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
      aState.mWaiting.push_back(aCall.mId);
      aSlot.mCalls[aCall.mId] = aKey;
      return true;
    case KeyPhase::Unresolved:
      aActions.push_back(Refusal(aCall.mId,
                                 ErrorCode::OutcomeUnknown,
                                 ExecutionState::Unknown,
                                 "an earlier attempt did not report back"));
      return true;
    case KeyPhase::NotRun:
      return false;
  }
  return true;
}

// The reason not to claim a new key now, if there is one.
std::optional<AnswerCall>
RefuseNewKey(Slot& aSlot,
             const KeyedCall& aCall,
             const KeyState* aState,
             TimeMs aNowMs)
{
  // 1. A key that the record lacks, or has from an earlier epoch, may have
  // run unseen when the record is not complete.
  if (!IsComplete(aSlot, aNowMs) &&
      (aState == nullptr || aState->mEpoch != aSlot.mStatus.mEpoch)) {
    return Refusal(aCall.mId,
                   ErrorCode::OutcomeUnknown,
                   ExecutionState::Unknown,
                   "the record of the slot is not complete");
  }
  // 2. The agent is leaving.
  ExecutionState proof = ProofOfNotRun(aSlot, aNowMs);
  if (aSlot.mPhase == SlotPhase::Draining) {
    return Refusal(
      aCall.mId, ErrorCode::Draining, proof, "the agent is leaving");
  }
  // 3. No place to commit the claim.
  if (!aSlot.mStoreReachable && !CanClaimWithoutStore(aSlot)) {
    return Refusal(aCall.mId,
                   ErrorCode::RecordUnavailable,
                   proof,
                   "the store and a witness are unreachable");
  }
  // 4. No memory to remember the key.
  std::size_t needed = KeyBytes(aCall.mCustomer + "\n" + aCall.mKey);
  if (aState == nullptr) {
    MakeRoom(aSlot, needed);
  }
  bool full =
    aState == nullptr && aSlot.mBytes + needed > aSlot.mOptions.mMaxBytes;
  if (full || aSlot.mQueueBytes > aSlot.mOptions.mMaxQueueBytes) {
    return Refusal(
      aCall.mId, ErrorCode::Overloaded, proof, "the record is full");
  }
  return std::nullopt;
}

void
CommitBatch(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  BatchInFlight batch = std::move(*aSlot.mInFlight);
  aSlot.mInFlight.reset();
  aSlot.mBatches.push_back(
    { aSlot.mStatus.mEpoch, batch.mSequence, UnixMs(aSlot, aNowMs) });
  for (const auto& item : batch.mItems) {
    if (item.mKind == RecordItemKind::Claim) {
      CommitClaim(aSlot, item.mClaim, aActions);
    }
  }
  aSlot.mHeldItems -= std::min(aSlot.mHeldItems, batch.mItems.size());
  DropHeldClaims(aSlot, aActions);
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
MapKey(const Claim& aClaim)
{
  return aClaim.mCustomer + "\n" + aClaim.mKey;
}

ExecutionState
ProofOfNotRun(const Slot& aSlot, TimeMs aNowMs)
{
  if (!aSlot.mOptions.mProveByLease) {
    return ExecutionState::NotRun;
  }
  return IsComplete(aSlot, aNowMs) && aNowMs < aSlot.mLeaseUntilMs
           ? ExecutionState::NotRun
           : ExecutionState::Unknown;
}

bool
IsNewer(const Claim& aClaim, const KeyState& aState)
{
  return std::tie(aClaim.mEpoch, aClaim.mClaimedMs, aClaim.mAttempt) >
         std::tie(aState.mEpoch, aState.mClaimedMs, aState.mAttempt);
}

bool
IsSame(const Claim& aClaim, const KeyState& aState)
{
  return aClaim.mEpoch == aState.mEpoch && aClaim.mAttempt == aState.mAttempt;
}

void
AnswerWaiting(Slot& aSlot,
              KeyState& aState,
              const AnswerCall& aAnswer,
              RecordActions& aActions)
{
  for (CallId call : aState.mWaiting) {
    AnswerCall answer = aAnswer;
    answer.mCall = call;
    // A call that joined another's run is told that it did not run itself.
    answer.mReplayed = aAnswer.mOutcome && call != aAnswer.mCall;
    aSlot.mCalls.erase(call);
    aActions.emplace_back(std::move(answer));
  }
  std::vector<CallId>().swap(aState.mWaiting);
}

void
CommitClaim(Slot& aSlot, const Claim& aClaim, RecordActions& aActions)
{
  auto found = aSlot.mKeys.find(MapKey(aClaim));
  if (found == aSlot.mKeys.end()) {
    return;
  }
  KeyState& state = found->second;
  if (state.mPhase != KeyPhase::Claiming || !IsSame(aClaim, state)) {
    return;
  }
  if (state.mWaiting.empty()) {
    state.mPhase = KeyPhase::NotRun;
    Enqueue(aSlot, state, { RecordItemKind::NotRun, aClaim, nullptr });
    return;
  }
  state.mPhase = KeyPhase::Running;
  CallId call = state.mWaiting.front();
  aSlot.mRunning[call] = aClaim;
  aActions.push_back(DispatchCall{ call, aClaim });
}

void
Flush(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions)
{
  // 1. One write at a time, and at most one in an interval.
  bool serving = IsServing(aSlot);
  if (!serving || !aSlot.mStoreReachable || aSlot.mReleasing ||
      aNowMs < aSlot.mLastWriteMs + aSlot.mOptions.mWriteIntervalMs) {
    return;
  }
  std::int64_t epoch = aSlot.mStatus.mEpoch;
  bool conditional = aSlot.mOptions.mFenceWrites;
  if (aSlot.mInFlight) {
    auto& batch = *aSlot.mInFlight;
    if (batch.mStep == BatchInFlight::Step::ToRead) {
      batch.mStep = BatchInFlight::Step::Reading;
      aSlot.mLastWriteMs = aNowMs;
      aActions.push_back(ReadBatch{ epoch, batch.mSequence });
    } else if (batch.mStep == BatchInFlight::Step::ToWrite) {
      batch.mStep = BatchInFlight::Step::Writing;
      aSlot.mLastWriteMs = aNowMs;
      aActions.push_back(
        WriteBatch{ epoch, batch.mSequence, batch.mValue, conditional });
    }
    return;
  }
  if (aSlot.mQueue.empty()) {
    return;
  }
  // 2. As many items as a value holds.
  RecordBatch value{ .mEpoch = epoch,
                     .mSequence = aSlot.mNextSequence++,
                     .mWrittenMs = UnixMs(aSlot, aNowMs),
                     .mItems = {} };
  std::size_t bytes = 0;
  while (!aSlot.mQueue.empty()) {
    std::size_t size = EncodedBytes(aSlot.mQueue.front());
    if (!value.mItems.empty() && bytes + size > aSlot.mOptions.mMaxBatchBytes) {
      break;
    }
    bytes += size;
    aSlot.mQueueBytes -= size;
    value.mItems.push_back(std::move(aSlot.mQueue.front()));
    aSlot.mQueue.pop_front();
    ++aSlot.mQueueBase;
  }
  // 3. The write.
  std::string text = ToJson(value).dump();
  aActions.push_back(WriteBatch{ epoch, value.mSequence, text, conditional });
  aSlot.mInFlight = BatchInFlight{ .mSequence = value.mSequence,
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
  return aSlot.mBytes;
}

RecordActions
CallArrived(Slot& aSlot, const KeyedCall& aCall, TimeMs aNowMs)
{
  RecordActions actions;
  // 1. Calls that this agent cannot decide.
  if (!IsValidKey(aCall.mKey) ||
      aCall.mCustomer.find('\n') != std::string::npos) {
    actions.push_back(Refusal(aCall.mId,
                              ErrorCode::BadRequest,
                              ExecutionState::NotRun,
                              "the key is not 1 to 255 visible characters"));
    return actions;
  }
  if (aSlot.mPhase == SlotPhase::TakingOver ||
      aSlot.mPhase == SlotPhase::Recovering) {
    actions.push_back(Refusal(aCall.mId,
                              ErrorCode::RecordUnavailable,
                              ExecutionState::Unknown,
                              "the record of the slot is being read"));
    return actions;
  }
  if (!IsServing(aSlot)) {
    actions.push_back(Refusal(aCall.mId,
                              ErrorCode::NotOwner,
                              ExecutionState::Unknown,
                              "the agent does not own the slot"));
    return actions;
  }
  // 2. A key that the record has.
  ExpireKeys(aSlot, aNowMs);
  std::string key = aCall.mCustomer + "\n" + aCall.mKey;
  auto found = aSlot.mKeys.find(key);
  KeyState* known = found == aSlot.mKeys.end() ? nullptr : &found->second;
  if (known != nullptr &&
      AnswerKnownKey(aSlot, aCall, &found->first, *known, aNowMs, actions)) {
    return actions;
  }
  // 3. A key to claim.
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
  KeyState& state = AddKey(aSlot, key, claim.mClaimedMs);
  state.mPhase = KeyPhase::Claiming;
  state.mFingerprint = aCall.mFingerprint;
  state.mEpoch = claim.mEpoch;
  state.mAttempt = attempt;
  state.mWaiting.insert(state.mWaiting.begin(), aCall.mId);
  aSlot.mCalls[aCall.mId] = &aSlot.mKeys.find(key)->first;
  // 4. The claim goes to the store, and in an outage to the witnesses first.
  Enqueue(aSlot, state, { RecordItemKind::Claim, claim, nullptr });
  bool withoutCopy = !aSlot.mStoreReachable && aSlot.mOptions.mWitnessAcks == 0;
  if (!aSlot.mOptions.mClaimBeforeRun || withoutCopy) {
    CommitClaim(aSlot, claim, actions);
  } else if (!aSlot.mStoreReachable) {
    aSlot.mForWitnesses.push_back(std::move(claim));
    SendRound(aSlot, actions);
  }
  Flush(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
CallCancelled(Slot& aSlot, CallId aCall, TimeMs aNowMs)
{
  RecordActions actions;
  auto found = aSlot.mCalls.find(aCall);
  if (found == aSlot.mCalls.end()) {
    return actions;
  }
  KeyState& state = aSlot.mKeys.at(*found->second);
  std::erase(state.mWaiting, aCall);
  aSlot.mCalls.erase(found);
  bool abandoned = state.mPhase == KeyPhase::Claiming && state.mWaiting.empty();
  actions.push_back(
    Refusal(aCall,
            ErrorCode::DeadlineExceeded,
            abandoned ? ProofOfNotRun(aSlot, aNowMs) : ExecutionState::Unknown,
            "the caller's deadline passed"));
  return actions;
}

RecordActions
BatchAnswered(Slot& aSlot,
              std::int64_t aSequence,
              StoreAnswer aAnswer,
              TimeMs aNowMs)
{
  RecordActions actions;
  if (!aSlot.mInFlight || aSlot.mInFlight->mSequence != aSequence) {
    return actions;
  }
  auto& batch = *aSlot.mInFlight;
  // Written and Conflict are final whenever they arrive; the others only
  // matter for the write that is under way.
  if (aAnswer == StoreAnswer::Written) {
    CommitBatch(aSlot, aNowMs, actions);
  } else if (aAnswer == StoreAnswer::Conflict) {
    StepDown(aSlot, actions);
  } else if (batch.mStep == BatchInFlight::Step::Writing) {
    if (aAnswer == StoreAnswer::Lost && !aSlot.mOptions.mReadBack) {
      CommitBatch(aSlot, aNowMs, actions);
      return actions;
    }
    batch.mStep = aAnswer == StoreAnswer::Lost ? BatchInFlight::Step::ToRead
                                               : BatchInFlight::Step::ToWrite;
    Flush(aSlot, aNowMs, actions);
  }
  return actions;
}

RecordActions
BatchReadBack(Slot& aSlot,
              std::int64_t aSequence,
              bool aReached,
              const std::optional<std::string>& aValue,
              TimeMs aNowMs)
{
  RecordActions actions;
  if (!aSlot.mInFlight || aSlot.mInFlight->mSequence != aSequence ||
      aSlot.mInFlight->mStep != BatchInFlight::Step::Reading) {
    return actions;
  }
  auto& batch = *aSlot.mInFlight;
  if (!aReached) {
    batch.mStep = BatchInFlight::Step::ToRead;
  } else if (!aValue) {
    batch.mStep = BatchInFlight::Step::ToWrite;
  } else if (*aValue == batch.mValue) {
    CommitBatch(aSlot, aNowMs, actions);
    return actions;
  } else {
    // Another process writes under this epoch.
    StepDown(aSlot, actions);
    return actions;
  }
  Flush(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
BackendAnswered(Slot& aSlot, CallId aCall, Outcome aOutcome, TimeMs aNowMs)
{
  RecordActions actions;
  auto running = aSlot.mRunning.find(aCall);
  if (running == aSlot.mRunning.end()) {
    return actions;
  }
  Claim claim = std::move(running->second);
  aSlot.mRunning.erase(running);
  KeyState& state = aSlot.mKeys.at(MapKey(claim));
  auto outcome = std::make_shared<const Outcome>(std::move(aOutcome));
  AnswerWaiting(aSlot,
                state,
                { .mCall = aCall,
                  .mOutcome = outcome,
                  .mReplayed = false,
                  .mExecution = ExecutionState::Ran,
                  .mReason = {} },
                actions);
  auto recorded = Recorded(aSlot.mOptions, outcome);
  if (IsServing(aSlot)) {
    Enqueue(aSlot, state, { RecordItemKind::Outcome, claim, recorded });
  }
  SetOutcome(aSlot, state, recorded);
  Flush(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
BackendBroke(Slot& aSlot, CallId aCall, TimeMs aNowMs)
{
  RecordActions actions;
  auto running = aSlot.mRunning.find(aCall);
  if (running == aSlot.mRunning.end()) {
    return actions;
  }
  KeyState& state = aSlot.mKeys.at(MapKey(running->second));
  aSlot.mRunning.erase(running);
  state.mPhase = KeyPhase::Unresolved;
  AnswerWaiting(aSlot,
                state,
                Refusal(aCall,
                        ErrorCode::BackendFailed,
                        ExecutionState::Unknown,
                        "the backend server failed during the call"),
                actions);
  TryRelease(aSlot, aNowMs, actions);
  return actions;
}

RecordActions
BackendNotReached(Slot& aSlot, CallId aCall, TimeMs aNowMs)
{
  RecordActions actions;
  auto running = aSlot.mRunning.find(aCall);
  if (running == aSlot.mRunning.end()) {
    return actions;
  }
  Claim claim = std::move(running->second);
  aSlot.mRunning.erase(running);
  KeyState& state = aSlot.mKeys.at(MapKey(claim));
  state.mPhase = KeyPhase::NotRun;
  // The committed claim keeps every other agent from running the key, so that
  // this holds without a lease.
  AnswerWaiting(aSlot,
                state,
                Refusal(aCall,
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
  RetryStatus(aSlot, aNowMs, actions);
  RetryRecovery(aSlot, aNowMs, actions);
  Flush(aSlot, aNowMs, actions);
  DropHeldClaims(aSlot, actions);
  TryRelease(aSlot, aNowMs, actions);
  // A batch is deleted once every claim in it has expired. An outcome item
  // may lie in a later batch than its claim and does not need it.
  std::int64_t oldest = UnixMs(aSlot, aNowMs) - aSlot.mOptions.mRetentionMs;
  while (IsServing(aSlot) && aSlot.mStoreReachable && !aSlot.mBatches.empty() &&
         aSlot.mBatches.front().mWrittenMs < oldest) {
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
    bool waiting = aSlot.mInFlight
                     ? aSlot.mInFlight->mStep == BatchInFlight::Step::ToRead ||
                         aSlot.mInFlight->mStep == BatchInFlight::Step::ToWrite
                     : !aSlot.mQueue.empty();
    if (waiting) {
      consider(aSlot.mLastWriteMs + options.mWriteIntervalMs);
    }
    if (!aSlot.mBatches.empty()) {
      consider(aSlot.mBatches.front().mWrittenMs - aSlot.mUnixOffsetMs +
               options.mRetentionMs + 1);
    }
  }
  if (aSlot.mStatusWrite && aSlot.mStatusWrite->mWaiting) {
    consider(aSlot.mStatusWrite->mSentMs + options.mRetryMs);
  }
  if (aSlot.mPhase == SlotPhase::Recovering) {
    consider(aSlot.mLastTryMs + options.mRetryMs);
  }
  if (!aSlot.mExpiry.empty()) {
    consider(aSlot.mExpiry.front().first - aSlot.mUnixOffsetMs +
             options.mRetentionMs);
  }
  return due;
}

} // namespace savory
