#include "savory/core/drain_notices.h"

#include <algorithm>

namespace savory {

namespace {

// A process exits within a minute after it began to leave; its registration may
// be repeated for as long as a host that was cut off keeps it.
constexpr TimeMs kNoticeTtlMs = 6LL * 3600 * 1000;

constexpr std::size_t kMaxNotices = 8192;

} // namespace

bool
AddDrainNotice(DrainNotices& aNotices,
               const ServerProcess& aProcess,
               TimeMs aNowMs)
{
  auto& processes = aNotices.mProcesses;
  if (aProcess.second == 0 || processes.contains(aProcess)) {
    return false;
  }
  if (processes.size() >= kMaxNotices) {
    std::erase_if(processes, [aNowMs](const auto& aRow) {
      return aNowMs - aRow.second >= kNoticeTtlMs;
    });
  }
  if (processes.size() >= kMaxNotices) {
    processes.erase(std::min_element(processes.begin(),
                                     processes.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second < aRight.second;
                                     }));
  }
  processes.emplace(aProcess, aNowMs);
  return true;
}

bool
HasDrainNotice(const DrainNotices& aNotices, const ServerProcess& aProcess)
{
  return aNotices.mProcesses.contains(aProcess);
}

} // namespace savory
