#include "slots.h"

#include "savory/net/log.h"

#include <algorithm>

namespace savory {

namespace {

// What an error of the store proves of a write.
StoreAnswer
ToStoreAnswer(const StoreError& aError)
{
  return aError.mCode == StoreErrorCode::Unreachable ||
             aError.mCode == StoreErrorCode::Refused
           ? StoreAnswer::Refused
           : StoreAnswer::Lost;
}

// Whether an error shows that the store answers at all.
bool
WasReached(const StoreError& aError)
{
  return aError.mCode == StoreErrorCode::Refused;
}

} // namespace

// Carries out what the record asks for, in order.
void
Slots::Perform(const HeldSlotPtr& aHeld, const RecordActions& aActions)
{
  for (const auto& action : aActions) {
    std::visit([&](const auto& aAction) { Execute(aHeld, aAction); }, action);
  }
  bool serving = IsServing(aHeld->mSlot);
  if (serving != aHeld->mWasServing) {
    aHeld->mWasServing = serving;
    LogEvent(serving ? Event::SlotTaken : Event::SlotLost,
             { { "service", mService },
               { "slot", std::to_string(aHeld->mNumber) },
               { "epoch", std::to_string(aHeld->mSlot.mStatus.mEpoch) } });
    mOnChanged();
  }
  ArmTick(aHeld);
}

void
Slots::ArmTick(const HeldSlotPtr& aHeld)
{
  auto due = NextDueMs(aHeld->mSlot);
  auto found = mHeldSlots.find(aHeld->mNumber);
  if (!due || found == mHeldSlots.end() || found->second != aHeld) {
    aHeld->mTickTimer.Cancel();
    return;
  }
  // A batch expires after a day; the timer need not be that exact.
  TimeMs delay = std::clamp<TimeMs>(*due - MonotonicMs(), 1, 60000);
  std::weak_ptr<HeldSlot> weak = aHeld;
  aHeld->mTickTimer = Timer::After(mNode.mLoop, delay, [this, weak] {
    if (auto held = weak.lock()) {
      Perform(held, Tick(held->mSlot, MonotonicMs()));
    }
  });
}

// The lease key is written with a take-over and deleted with a release, so
// that a free slot is one without that key.
void
Slots::Execute(const HeldSlotPtr& aHeld, const WriteStatus& aAction)
{
  int number = aHeld->mNumber;
  bool taking = aHeld->mSlot.mPhase == SlotPhase::TakingOver;
  bool releasing = aAction.mDesired.mOwner.mHost.empty();
  // A lease key without a lease would hold the slot for good. The record
  // repeats the write.
  if (taking && mLeaseId == 0) {
    Defer(mNode.mLoop, [this, aHeld] {
      Perform(
        aHeld,
        OnStatusAnswer(
          aHeld->mSlot, StoreAnswer::Refused, std::nullopt, MonotonicMs()));
    });
    return;
  }
  StoreTransaction write;
  write.mConditions = { { StatusKey(number), aHeld->mRevision } };
  write.mPuts = { { StatusKey(number), ToJson(aAction.mDesired).dump() } };
  std::int64_t lease = mLeaseId;
  if (taking) {
    write.mConditions.push_back({ LeaseKey(number), 0 });
    write.mPuts.push_back({ LeaseKey(number), LeaseValue(), lease });
  } else if (releasing) {
    write.mDeletes = { LeaseKey(number) };
  }
  mStore.Commit(
    write,
    [this, aHeld, aAction, taking, lease](
      const tl::expected<StoreCommit, StoreError>& aCommit) {
      TimeMs now = MonotonicMs();
      if (!aCommit) {
        OnStoreCall(WasReached(aCommit.error()));
        Perform(
          aHeld,
          OnStatusAnswer(
            aHeld->mSlot, ToStoreAnswer(aCommit.error()), std::nullopt, now));
        return;
      }
      OnStoreCall(true);
      if (aCommit->mSucceeded) {
        aHeld->mRevision = aCommit->mRevision;
        if (taking && lease == mLeaseId) {
          aHeld->mLeaseBound = true;
          OnLeaseRenewed(aHeld->mSlot, mLeaseSentMs);
        }
        Perform(aHeld,
                OnStatusAnswer(
                  aHeld->mSlot, StoreAnswer::Written, std::nullopt, now));
        return;
      }
      mStore.Read(
        StatusKey(aHeld->mNumber),
        [this, aHeld, aAction](
          const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
          if (!aEntry) {
            OnStoreCall(WasReached(aEntry.error()));
            Perform(
              aHeld,
              OnStatusAnswer(
                aHeld->mSlot, StoreAnswer::Lost, std::nullopt, MonotonicMs()));
            return;
          }
          OnStatusFound(aHeld, aAction, *aEntry);
        });
    });
}

// The status that a write which failed its comparison has found.
void
Slots::OnStatusFound(const HeldSlotPtr& aHeld,
                     const WriteStatus& aAction,
                     const std::optional<StoreEntry>& aEntry)
{
  std::optional<SlotStatus> current;
  if (aEntry) {
    auto status = ParseSlotStatus(aEntry->mValue);
    if (status) {
      current = *status;
    }
  }
  bool unchanged = current == aAction.mExpected;
  bool taking = aHeld->mSlot.mPhase == SlotPhase::TakingOver;
  bool written = current && *current == aAction.mDesired;
  if ((unchanged && !taking) || written) {
    aHeld->mRevision = aEntry ? aEntry->mModRevision : 0;
  }
  // An unchanged status means that only the known revision was old, and the
  // write is repeated; at a take-over it means that the lease is held.
  auto answer =
    unchanged && !taking ? StoreAnswer::Refused : StoreAnswer::Conflict;
  Perform(aHeld, OnStatusAnswer(aHeld->mSlot, answer, current, MonotonicMs()));
}

void
Slots::Execute(const HeldSlotPtr& aHeld, const WriteBatch& aAction)
{
  std::string key =
    RecordKey(aHeld->mNumber, aAction.mEpoch, aAction.mSequence);
  StoreTransaction write;
  write.mConditions = { { key, 0 } };
  if (aAction.mConditional) {
    write.mConditions.push_back(
      { StatusKey(aHeld->mNumber), aHeld->mRevision });
  }
  write.mPuts = { { key, aAction.mValue } };
  mStore.Commit(
    write,
    [this, aHeld, aAction](
      const tl::expected<StoreCommit, StoreError>& aCommit) {
      StoreAnswer answer = StoreAnswer::Written;
      if (!aCommit) {
        OnStoreCall(WasReached(aCommit.error()));
        answer = ToStoreAnswer(aCommit.error());
      } else {
        OnStoreCall(true);
        if (!aCommit->mSucceeded) {
          OnBatchConflict(aHeld, aAction);
          return;
        }
      }
      Perform(
        aHeld,
        OnBatchAnswer(aHeld->mSlot, aAction.mSequence, answer, MonotonicMs()));
    });
}

// A batch failed its comparison: the epoch differs, the batch was written
// before, or this agent itself changed the status in between.
void
Slots::OnBatchConflict(const HeldSlotPtr& aHeld, const WriteBatch& aAction)
{
  mStore.Read(
    StatusKey(aHeld->mNumber),
    [this, aHeld, aAction](
      const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
      StoreAnswer answer = StoreAnswer::Lost;
      if (!aEntry) {
        OnStoreCall(WasReached(aEntry.error()));
      } else if (!*aEntry) {
        answer = StoreAnswer::Conflict;
      } else {
        auto status = ParseSlotStatus((*aEntry)->mValue);
        if (status && status->mEpoch == aAction.mEpoch &&
            status->mOwner == mSelf) {
          aHeld->mRevision = (*aEntry)->mModRevision;
        } else {
          answer = StoreAnswer::Conflict;
        }
      }
      Perform(
        aHeld,
        OnBatchAnswer(aHeld->mSlot, aAction.mSequence, answer, MonotonicMs()));
    });
}

void
Slots::Execute(const HeldSlotPtr& aHeld, const ReadBatch& aAction)
{
  mStore.Read(
    RecordKey(aHeld->mNumber, aAction.mEpoch, aAction.mSequence),
    [this, aHeld, aAction](
      const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
      std::optional<std::string> value;
      if (aEntry && *aEntry) {
        value = (*aEntry)->mValue;
      }
      OnStoreCall(aEntry.has_value() || WasReached(aEntry.error()));
      Perform(aHeld,
              OnBatchReadBack(aHeld->mSlot,
                              aAction.mSequence,
                              aEntry.has_value(),
                              value,
                              MonotonicMs()));
    });
}

void
Slots::Execute(const HeldSlotPtr& aHeld, const ReadRecord& /*aAction*/)
{
  mStore.ReadPrefix(
    "rec/" + mService + "/" + std::to_string(aHeld->mNumber) + "/",
    [this,
     aHeld](const tl::expected<std::vector<StoreEntry>, StoreError>& aEntries) {
      std::optional<std::vector<std::string>> values;
      OnStoreCall(aEntries.has_value() || WasReached(aEntries.error()));
      if (aEntries) {
        values.emplace();
        for (const auto& entry : *aEntries) {
          values->push_back(entry.mValue);
        }
      }
      Perform(aHeld, OnRecordRead(aHeld->mSlot, values, MonotonicMs()));
    });
}

// A batch that stays behind is expired again by the next owner.
void
Slots::Execute(const HeldSlotPtr& aHeld, const DeleteBatch& aAction)
{
  mStore.Commit(
    { .mConditions = {},
      .mPuts = {},
      .mDeletes = { RecordKey(
        aHeld->mNumber, aAction.mEpoch, aAction.mSequence) } },
    [](const tl::expected<StoreCommit, StoreError>& /*aCommit*/) {});
}

void
Slots::Execute(const HeldSlotPtr& /*aHeld*/, const DispatchCall& aAction)
{
  auto found = mCalls.find(aAction.mCall);
  if (found != mCalls.end()) {
    found->second.mRunning = true;
    auto dispatch = found->second.mHandlers.mDispatch;
    dispatch();
  }
}

void
Slots::Execute(const HeldSlotPtr& /*aHeld*/, const AnswerCall& aAction)
{
  auto found = mCalls.find(aAction.mCall);
  if (found == mCalls.end() || found->second.mAnswered) {
    return;
  }
  auto answer = found->second.mHandlers.mAnswer;
  found->second.mAnswered = true;
  if (!found->second.mRunning) {
    mCalls.erase(found);
  }
  answer(aAction);
}

void
Slots::Execute(const HeldSlotPtr& aHeld, const SlotOwnershipLost& /*aAction*/)
{
  auto found = mHeldSlots.find(aHeld->mNumber);
  if (found != mHeldSlots.end() && found->second == aHeld) {
    mHeldSlots.erase(found);
  }
  if (mLeaving && mHeldSlots.empty() && mLeaseId != 0) {
    mStore.RevokeLease(std::exchange(mLeaseId, 0),
                       [](const tl::expected<bool, StoreError>& /*aEnded*/) {});
  }
  mOnChanged();
}

} // namespace savory
