#include "slots.h"

#include "savory/net/log.h"

#include <algorithm>

namespace savory {

namespace {

// Converts a store error to what it proves about a write.
StoreAnswer
ToStoreAnswer(const StoreError& aError)
{
  return aError.mCode == StoreErrorCode::Unreachable ||
             aError.mCode == StoreErrorCode::Refused
           ? StoreAnswer::Refused
           : StoreAnswer::Lost;
}

// Whether an error shows that the store could be reached.
bool
WasReached(const StoreError& aError)
{
  return aError.mCode == StoreErrorCode::Refused;
}

} // namespace

// Executes the record's actions in order.
void
Slots::Perform(const HeldSlotPtr& aHeldSlot, const RecordActions& aActions)
{
  for (const auto& action : aActions) {
    std::visit([&](const auto& aAction) { Execute(aHeldSlot, aAction); },
               action);
  }
  bool serving = IsServing(aHeldSlot->mSlot);
  if (serving != aHeldSlot->mWasServing) {
    aHeldSlot->mWasServing = serving;
    LogEvent(serving ? Event::SlotTaken : Event::SlotLost,
             { { "service", mService },
               { "slot", std::to_string(aHeldSlot->mNumber) },
               { "epoch", std::to_string(aHeldSlot->mSlot.mStatus.mEpoch) } });
    mOnChanged();
  }
  ArmTick(aHeldSlot);
}

void
Slots::ArmTick(const HeldSlotPtr& aHeldSlot)
{
  auto due = NextDueMs(aHeldSlot->mSlot);
  auto found = mHeldSlots.find(aHeldSlot->mNumber);
  if (!due || found == mHeldSlots.end() || found->second != aHeldSlot) {
    aHeldSlot->mTickTimer.Cancel();
    return;
  }
  // The next due time may be a batch's expiry after a day, for which a timer of
  // at most a minute is exact enough.
  TimeMs delay = std::clamp<TimeMs>(*due - MonotonicMs(), 1, 60000);
  std::weak_ptr<HeldSlot> weak = aHeldSlot;
  aHeldSlot->mTickTimer = Timer::After(mNode.mLoop, delay, [this, weak] {
    if (auto heldSlot = weak.lock()) {
      Perform(heldSlot, Tick(heldSlot->mSlot, MonotonicMs()));
    }
  });
}

// A takeover writes the lease key and a release deletes it, so that a slot
// without that key is free.
void
Slots::Execute(const HeldSlotPtr& aHeldSlot, const WriteStatus& aAction)
{
  int number = aHeldSlot->mNumber;
  bool takingOver = aHeldSlot->mSlot.mPhase == SlotPhase::TakingOver;
  bool releasing = aAction.mDesired.mOwner.mHost.empty();
  // A lease key without a lease would never expire and hold the slot for good.
  // The record retries the refused write.
  if (takingOver && mLeaseId == 0) {
    Defer(mNode.mLoop, [this, aHeldSlot] {
      Perform(
        aHeldSlot,
        OnStatusAnswer(
          aHeldSlot->mSlot, StoreAnswer::Refused, std::nullopt, MonotonicMs()));
    });
    return;
  }
  StoreTransaction write;
  write.mConditions = { { StatusKey(number), aHeldSlot->mRevision } };
  write.mPuts = { { StatusKey(number), ToJson(aAction.mDesired).dump() } };
  std::int64_t lease = mLeaseId;
  if (takingOver) {
    write.mConditions.push_back({ LeaseKey(number), 0 });
    write.mPuts.push_back({ LeaseKey(number), LeaseValue(), lease });
  } else if (releasing) {
    write.mDeletes = { LeaseKey(number) };
  }
  mStore.Commit(
    write,
    [this, aHeldSlot, aAction, takingOver, lease](
      const tl::expected<StoreCommit, StoreError>& aCommit) {
      TimeMs now = MonotonicMs();
      if (!aCommit) {
        OnStoreCall(WasReached(aCommit.error()));
        Perform(aHeldSlot,
                OnStatusAnswer(aHeldSlot->mSlot,
                               ToStoreAnswer(aCommit.error()),
                               std::nullopt,
                               now));
        return;
      }
      OnStoreCall(true);
      if (aCommit->mSucceeded) {
        aHeldSlot->mRevision = aCommit->mRevision;
        if (takingOver && lease == mLeaseId) {
          aHeldSlot->mLeaseBound = true;
          OnLeaseRenewed(aHeldSlot->mSlot, mLeaseSentMs);
        }
        Perform(aHeldSlot,
                OnStatusAnswer(
                  aHeldSlot->mSlot, StoreAnswer::Written, std::nullopt, now));
        return;
      }
      mStore.Read(
        StatusKey(aHeldSlot->mNumber),
        [this, aHeldSlot, aAction](
          const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
          if (!aEntry) {
            OnStoreCall(WasReached(aEntry.error()));
            Perform(aHeldSlot,
                    OnStatusAnswer(aHeldSlot->mSlot,
                                   StoreAnswer::Lost,
                                   std::nullopt,
                                   MonotonicMs()));
            return;
          }
          OnStatusFound(aHeldSlot, aAction, *aEntry);
        });
    });
}

// Handles the status that was read after a status write failed its
// compare-and-swap.
void
Slots::OnStatusFound(const HeldSlotPtr& aHeldSlot,
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
  bool takingOver = aHeldSlot->mSlot.mPhase == SlotPhase::TakingOver;
  bool isWritten = current && *current == aAction.mDesired;
  if ((unchanged && !takingOver) || isWritten) {
    aHeldSlot->mRevision = aEntry ? aEntry->mModRevision : 0;
  }
  // An unchanged status means that only the known revision was out of date, and
  // the write is retried; at a takeover it means that another lease holds the
  // slot.
  auto answer =
    unchanged && !takingOver ? StoreAnswer::Refused : StoreAnswer::Conflict;
  Perform(aHeldSlot,
          OnStatusAnswer(aHeldSlot->mSlot, answer, current, MonotonicMs()));
}

void
Slots::Execute(const HeldSlotPtr& aHeldSlot, const WriteBatch& aAction)
{
  std::string key =
    RecordKey(aHeldSlot->mNumber, aAction.mEpoch, aAction.mSequence);
  StoreTransaction write;
  write.mConditions = { { key, 0 } };
  if (aAction.mConditional) {
    write.mConditions.push_back(
      { StatusKey(aHeldSlot->mNumber), aHeldSlot->mRevision });
  }
  write.mPuts = { { key, aAction.mValue } };
  mStore.Commit(
    write,
    [this, aHeldSlot, aAction](
      const tl::expected<StoreCommit, StoreError>& aCommit) {
      StoreAnswer answer = StoreAnswer::Written;
      if (!aCommit) {
        OnStoreCall(WasReached(aCommit.error()));
        answer = ToStoreAnswer(aCommit.error());
      } else {
        OnStoreCall(true);
        if (!aCommit->mSucceeded) {
          OnBatchConflict(aHeldSlot, aAction);
          return;
        }
      }
      Perform(aHeldSlot,
              OnBatchAnswer(
                aHeldSlot->mSlot, aAction.mSequence, answer, MonotonicMs()));
    });
}

// Handles a batch write that failed its compare-and-swap: the epoch differs,
// the batch was written before, or this agent changed the status in between.
void
Slots::OnBatchConflict(const HeldSlotPtr& aHeldSlot, const WriteBatch& aAction)
{
  mStore.Read(
    StatusKey(aHeldSlot->mNumber),
    [this, aHeldSlot, aAction](
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
          aHeldSlot->mRevision = (*aEntry)->mModRevision;
        } else {
          answer = StoreAnswer::Conflict;
        }
      }
      Perform(aHeldSlot,
              OnBatchAnswer(
                aHeldSlot->mSlot, aAction.mSequence, answer, MonotonicMs()));
    });
}

void
Slots::Execute(const HeldSlotPtr& aHeldSlot, const ReadBatch& aAction)
{
  mStore.Read(
    RecordKey(aHeldSlot->mNumber, aAction.mEpoch, aAction.mSequence),
    [this, aHeldSlot, aAction](
      const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
      std::optional<std::string> value;
      if (aEntry && *aEntry) {
        value = (*aEntry)->mValue;
      }
      OnStoreCall(aEntry.has_value() || WasReached(aEntry.error()));
      Perform(aHeldSlot,
              OnBatchReadBack(aHeldSlot->mSlot,
                              aAction.mSequence,
                              aEntry.has_value(),
                              value,
                              MonotonicMs()));
    });
}

void
Slots::Execute(const HeldSlotPtr& aHeldSlot, const ReadRecord& /*aAction*/)
{
  mStore.ReadPrefix(
    "rec/" + mService + "/" + std::to_string(aHeldSlot->mNumber) + "/",
    [this, aHeldSlot](
      const tl::expected<std::vector<StoreEntry>, StoreError>& aEntries) {
      std::optional<std::vector<std::string>> values;
      OnStoreCall(aEntries.has_value() || WasReached(aEntries.error()));
      if (aEntries) {
        values.emplace();
        for (const auto& entry : *aEntries) {
          values->push_back(entry.mValue);
        }
      }
      Perform(aHeldSlot, OnRecordRead(aHeldSlot->mSlot, values, MonotonicMs()));
    });
}

// A batch whose deletion fails is expired again by the next owner.
void
Slots::Execute(const HeldSlotPtr& aHeldSlot, const DeleteBatch& aAction)
{
  mStore.Commit(
    { .mConditions = {},
      .mPuts = {},
      .mDeletes = { RecordKey(
        aHeldSlot->mNumber, aAction.mEpoch, aAction.mSequence) } },
    [](const tl::expected<StoreCommit, StoreError>& /*aCommit*/) {});
}

void
Slots::Execute(const HeldSlotPtr& /*aHeldSlot*/, const DispatchCall& aAction)
{
  auto found = mCalls.find(aAction.mCall);
  if (found != mCalls.end()) {
    found->second.mRunning = true;
    auto dispatch = found->second.mHandlers.mDispatch;
    dispatch();
  }
}

void
Slots::Execute(const HeldSlotPtr& /*aHeldSlot*/, const AnswerCall& aAction)
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
Slots::Execute(const HeldSlotPtr& aHeldSlot,
               const SlotOwnershipLost& /*aAction*/)
{
  auto found = mHeldSlots.find(aHeldSlot->mNumber);
  if (found != mHeldSlots.end() && found->second == aHeldSlot) {
    mHeldSlots.erase(found);
  }
  if (mLeaving && mHeldSlots.empty() && mLeaseId != 0) {
    mStore.RevokeLease(std::exchange(mLeaseId, 0),
                       [](const tl::expected<bool, StoreError>& /*aEnded*/) {});
  }
  mOnChanged();
}

} // namespace savory
