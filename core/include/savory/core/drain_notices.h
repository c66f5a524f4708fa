#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace savory {

// Backend servers that said in an answer that they leave. A notice holds for
// one process of the server, whatever the store or a peer says of it: their
// reports may be older. It outlives the server's registration, so that a late
// or repeated one of the same process does not bring it back.

// One process of a backend server: the server's id and its start time by the
// platform's wall clock, 0 if that is not stated.
using ServerProcess = std::pair<std::string, std::int64_t>;

struct DrainNotices
{
  // When each notice was heard.
  std::map<ServerProcess, TimeMs> mProcesses;
};

// Records a notice. Returns false if it was known, or if the start time is not
// stated, as later processes of the server could not be told apart.
bool
AddDrainNotice(DrainNotices& aNotices,
               const ServerProcess& aProcess,
               TimeMs aNowMs);

bool
HasDrainNotice(const DrainNotices& aNotices, const ServerProcess& aProcess);

} // namespace savory
