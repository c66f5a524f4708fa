#pragma once

#include "savory/core/record.h"

// Helpers shared by the sources of the record.
namespace savory::record_detail {

using Keys = std::unordered_map<std::string, KeyState>;

std::int64_t
UnixMs(const Slot& aSlot, TimeMs aNowMs);

// The key of Slot::mKeys. Neither a customer nor a key contains a line feed, so
// the text is unique.
std::string
MakeMapKey(const Claim& aClaim);

// NotRun when it is certain that no other agent owns the slot and that the
// record holds every key that has run; Unknown otherwise.
ExecutionState
ProveNotRun(const Slot& aSlot, TimeMs aNowMs);

// Whether a claim is newer than, or the same as, the last claim of its key.
bool
IsNewerClaim(const Claim& aClaim, const KeyState& aState);
bool
IsSameClaim(const Claim& aClaim, const KeyState& aState);

// Finds a key or adds it and schedules its expiry. aClaimedMs is Unix time.
KeyState&
FindOrAddKey(Slot& aSlot, const std::string& aKey, std::int64_t aClaimedMs);

// Returns the outcome without headers and body, marked as not kept.
std::shared_ptr<const Outcome>
WithoutBody(const Outcome& aOutcome);

// Sets a key's outcome and evicts bodies beyond the memory bound.
void
SetOutcome(Slot& aSlot,
           KeyState& aState,
           const std::shared_ptr<const Outcome>& aOutcome);

// Evicts bodies, oldest first, until aBytes more fit.
void
EvictBodies(Slot& aSlot, std::size_t aBytes);
void
ExpireKeys(Slot& aSlot, TimeMs aNowMs);

// Adds an item to the write queue, or replaces the key's item in it: an outcome
// contains its claim, and a later claim supersedes an earlier one.
void
Enqueue(Slot& aSlot, KeyState& aState, RecordItem aItem);

// Estimated memory of a key without its outcome's headers and body.
std::size_t
KeyBytes(const std::string& aKey);

// Answers all calls that wait for a key with aAnswer. A call other than
// aAnswer.mCall that gets an outcome gets it as a replay.
void
AnswerWaitingCalls(Slot& aSlot,
                   KeyState& aState,
                   const AnswerCall& aAnswer,
                   RecordActions& aActions);

// Dispatches the call of a committed claim, or records the claim as not run
// when no call waits for it.
void
CommitClaim(Slot& aSlot, const Claim& aClaim, RecordActions& aActions);

// Ends ownership after another agent took the slot over with a higher epoch.
void
StepDown(Slot& aSlot, RecordActions& aActions);

// Writes the next batch, or retries the batch in flight, when it is due.
void
Flush(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions);

// Sends the next round of claims to the witnesses.
void
SendClaimRound(Slot& aSlot, RecordActions& aActions);

// Tells the witnesses to discard their claims once the store holds them all.
void
DiscardHeldClaims(Slot& aSlot, RecordActions& aActions);

// Whether new claims can be committed while the store is unreachable.
bool
CanClaimWithoutStore(const Slot& aSlot);

void
TryRelease(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions);
void
RetryRecovery(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions);
void
RetryStatusWrite(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions);

} // namespace savory::record_detail
