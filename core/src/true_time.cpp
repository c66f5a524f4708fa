#include "savory/core/true_time.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace savory {

namespace {

// A peer's clock is not used for longer than this after its last message.
constexpr TimeMs kSourceAgeMs = 3000;

// For this long after its start a host has no estimate that it could hold on
// to, as its own clock may be wrong.
constexpr TimeMs kInitialMs = 2000;

constexpr std::size_t kMaxSources = 1024;

// The year 2286. A later time would be a malformed message.
constexpr TimeMs kMaxWallMs = 10'000'000'000'000;

} // namespace

void
OnPeerClock(TrueTime& aTime,
            const std::string& aHost,
            TimeMs aPeerWallMs,
            TimeMs aBootMs)
{
  if (aPeerWallMs < 0 || aPeerWallMs > kMaxWallMs) {
    return;
  }
  if (aTime.mPeers.size() < kMaxSources || aTime.mPeers.contains(aHost)) {
    aTime.mPeers[aHost] = { aPeerWallMs - aBootMs, aBootMs };
  }
}

TimeMs
TrueTimeAt(const TrueTime& aTime, TimeMs aOwnWallMs, TimeMs aBootMs)
{
  return aTime.mOffsetMs ? aBootMs + *aTime.mOffsetMs : aOwnWallMs;
}

TimeMs
UpdateTrueTime(TrueTime& aTime, TimeMs aOwnWallMs, TimeMs aBootMs)
{
  if (!aTime.mOffsetMs) {
    aTime.mStartedBootMs = aBootMs;
  }
  std::erase_if(aTime.mPeers, [&](const auto& aRow) {
    return aBootMs - aRow.second.mSeenBootMs > kSourceAgeMs;
  });
  std::vector<TimeMs> offsets{ aOwnWallMs - aBootMs };
  for (const auto& [host, source] : aTime.mPeers) {
    offsets.push_back(source.mOffsetMs);
  }
  TimeMs last = aTime.mOffsetMs.value_or(offsets.front());
  if (aBootMs - aTime.mStartedBootMs >= kInitialMs) {
    offsets.push_back(last);
  }
  std::sort(offsets.begin(), offsets.end());
  TimeMs lower = offsets[(offsets.size() - 1) / 2];
  TimeMs upper = offsets[offsets.size() / 2];
  // Of two in the middle, the one that moves the estimate less.
  aTime.mOffsetMs =
    std::abs(lower - last) <= std::abs(upper - last) ? lower : upper;
  return aBootMs + *aTime.mOffsetMs;
}

} // namespace savory
