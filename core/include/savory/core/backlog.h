#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <deque>

namespace savory {

// Prompts that wait to be read at one engine, as one entry host knows them:
// its own and those that its peers told of. Engines read one prompt after
// another, so the work forms a queue.
struct BacklogItem
{
  TimeMs mSentMs = 0;
  double mReadMs = 0;
  // Names the host's own work; 0 for a peer's, of which no end is heard.
  std::uint64_t mOwn = 0;
};

struct Backlog
{
  std::deque<BacklogItem> mItems;
};

void
AddWork(Backlog& aBacklog, const BacklogItem& aItem);

// A prompt of this host has been read; what was sent before it has been, too.
void
ConfirmRead(Backlog& aBacklog, std::uint64_t aOwn);

// The work was called off.
void
RemoveWork(Backlog& aBacklog, std::uint64_t aOwn);

// Milliseconds of reading that are left. Own work that is overdue shows that
// the engine is behind what is known, and counts as being read still.
double
BacklogMs(const Backlog& aBacklog, TimeMs aNowMs);

// Forgets peers' work that must have been read by now.
void
PruneBacklog(Backlog& aBacklog, TimeMs aNowMs);

} // namespace savory
