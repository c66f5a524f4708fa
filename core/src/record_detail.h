#pragma once

#include "savory/core/record.h"

// Helpers shared by the sources of the record.
namespace savory::record_detail {

using Keys = std::unordered_map<std::string, KeyState>;

std::int64_t
UnixMs(const Slot& aSlot, TimeMs aNowMs);

// The key of mKeys. A key has no line feed, so the text is unique.
std::string
MapKey(const Claim& aClaim);

// NotRun when it is certain that no other agent owns the slot and that the
// record has every key that ran; else Unknown.
ExecutionState
ProofOfNotRun(const Slot& aSlot, TimeMs aNowMs);

// The order of two claims of one key.
bool
IsNewer(const Claim& aClaim, const KeyState& aState);
bool
IsSame(const Claim& aClaim, const KeyState& aState);

// Adds a key or finds it; a new one is entered for expiry.
KeyState&
AddKey(Slot& aSlot, const std::string& aKey, std::int64_t aClaimedMs);

// The outcome with its status only.
std::shared_ptr<const Outcome>
WithoutBody(const Outcome& aOutcome);

// Sets a key's outcome and keeps the memory within its bound.
void
SetOutcome(Slot& aSlot,
           KeyState& aState,
           const std::shared_ptr<const Outcome>& aOutcome);

// Drops bodies, oldest first, until aBytes more fit.
void
MakeRoom(Slot& aSlot, std::size_t aBytes);
void
ExpireKeys(Slot& aSlot, TimeMs aNowMs);
// Adds an item to those that wait to be written, or replaces the key's item
// among them: an outcome contains its claim, and a later claim supersedes what
// is known of an earlier one.
void
Enqueue(Slot& aSlot, KeyState& aState, RecordItem aItem);

std::size_t
KeyBytes(const std::string& aKey);

void
AnswerWaiting(Slot& aSlot,
              KeyState& aState,
              const AnswerCall& aAnswer,
              RecordActions& aActions);

// Dispatches a committed claim, or closes it when no call waits for it.
void
CommitClaim(Slot& aSlot, const Claim& aClaim, RecordActions& aActions);

// Ends ownership after another agent was seen to have a higher epoch.
void
StepDown(Slot& aSlot, RecordActions& aActions);

// Writes or reads the batch that is due.
void
Flush(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions);

// Sends the next round of claims to the witnesses.
void
SendRound(Slot& aSlot, RecordActions& aActions);

// Tells the witnesses to forget their claims once the store has them all.
void
DropHeldClaims(Slot& aSlot, RecordActions& aActions);

// Whether claims can be committed while the store is unreachable.
bool
CanClaimWithoutStore(const Slot& aSlot);

void
TryRelease(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions);
void
RetryRecovery(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions);
void
RetryStatus(Slot& aSlot, TimeMs aNowMs, RecordActions& aActions);

} // namespace savory::record_detail
