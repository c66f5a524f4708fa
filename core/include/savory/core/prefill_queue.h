#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <deque>

namespace savory {

// A prompt that waits for prefill at an engine.
struct PrefillItem
{
  TimeMs mSentMs = 0;
  double mPrefillMs = 0;
  // Identifies a prompt of this host; 0 for a peer's, whose end is never
  // reported here.
  std::uint64_t mLocalId = 0;
};

// The prompts that wait for prefill at one engine, as one entry host knows
// them: its own and those that peers reported. Engines prefill one prompt after
// another, so the work forms a queue.
struct PrefillQueue
{
  std::deque<PrefillItem> mItems;
  // When the prompts that were removed as done are expected to be done. The
  // engine begins with mItems no earlier.
  double mDoneMs = 0;
};

void
AddPrefill(PrefillQueue& aQueue, const PrefillItem& aItem);

// The prefill of a prompt of this host is done at aNowMs; so is that of all
// peers' prompts that were sent before it.
void
OnPrefillDone(PrefillQueue& aQueue, std::uint64_t aLocalId, TimeMs aNowMs);

// Removes a prompt of this host whose request was cancelled.
void
CancelPrefill(PrefillQueue& aQueue, std::uint64_t aLocalId);

// The estimated queue time in milliseconds. A prompt of this host that is
// overdue shows that the engine is behind the estimate, so it counts as still
// in prefill.
double
EstimateQueueMs(const PrefillQueue& aQueue, TimeMs aNowMs);

// Drops peers' prompts whose prefill, after that of all prompts before them, is
// expected to be done by now.
void
ExpirePeerPrefills(PrefillQueue& aQueue, TimeMs aNowMs);

} // namespace savory
