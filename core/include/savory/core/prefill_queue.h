#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <deque>

namespace savory {

// Prompts that wait to be read at one engine, as one entry host knows them:
// its own and those that its peers told of. Engines read one prompt after
// another, so the work forms a queue.
struct PrefillItem
{
  TimeMs mSentMs = 0;
  double mPrefillMs = 0;
  // Names the host's own work; 0 for a peer's, of which no end is heard.
  std::uint64_t mLocalId = 0;
};

struct PrefillQueue
{
  std::deque<PrefillItem> mItems;
};

void
AddPrefill(PrefillQueue& aQueue, const PrefillItem& aItem);

// A prompt of this host has been read; what was sent before it has been, too.
void
OnPrefillDone(PrefillQueue& aQueue, std::uint64_t aLocalId);

// The work was called off.
void
CancelPrefill(PrefillQueue& aQueue, std::uint64_t aLocalId);

// Milliseconds of reading that are left. Own work that is overdue shows that
// the engine is behind what is known, and counts as being read still.
double
EstimateQueueMs(const PrefillQueue& aQueue, TimeMs aNowMs);

// Forgets peers' work that must have been read by now.
void
ExpirePeerPrefills(PrefillQueue& aQueue, TimeMs aNowMs);

} // namespace savory
