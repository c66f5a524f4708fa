#pragma once

#include "savory/core/peer_message.h"
#include "savory/core/runners.h"

#include <string>

namespace savory {

// What goes into a host's next beacon. A beacon has a bound; what does not fit
// is in one of the next, so that nothing is left out for good.

// Where the last beacon ended.
struct BeaconCursor
{
  std::string mRunner;
};

// Adds the prefills that this host sent and has not reported yet, and marks
// them as reported. A lost datagram loses them: its receivers take the queues
// for shorter than they are until these prompts are done.
void
AddPrefillReports(PeerMessage& aMessage,
                  RunnerSet& aSet,
                  BeaconCursor& aCursor);

} // namespace savory
