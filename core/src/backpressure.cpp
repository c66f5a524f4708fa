#include "savory/core/backpressure.h"

#include <algorithm>
#include <xxhash.h>

namespace savory {

namespace {

// Hosts return within this time after the end of a hint, each at its own
// moment.
constexpr TimeMs kReturnSpreadMs = 500;

// The limit of requests at the server doubles with each step, for this many
// steps.
constexpr TimeMs kReturnStepMs = 250;
constexpr int kReturnSteps = 8;

// The host's part of the spread, from 0 to 1.
double
ReturnPhase(std::string_view aHost, std::string_view aServer)
{
  constexpr double kScale = 18446744073709551616.0;
  std::uint64_t seed = XXH3_64bits(aServer.data(), aServer.size());
  return static_cast<double>(
           XXH3_64bits_withSeed(aHost.data(), aHost.size(), seed)) /
         kScale;
}

} // namespace

void
OnBackpressureHint(Backpressure& aBackpressure,
                   TimeMs aForMs,
                   std::string_view aHost,
                   std::string_view aServer,
                   TimeMs aNowMs)
{
  TimeMs untilMs = aNowMs + std::clamp<TimeMs>(aForMs, 0, kMaxBackpressureMs);
  if (untilMs <= aBackpressure.mUntilMs) {
    return;
  }
  aBackpressure.mUntilMs = untilMs;
  aBackpressure.mReturnMs =
    untilMs + static_cast<TimeMs>(ReturnPhase(aHost, aServer) *
                                  static_cast<double>(kReturnSpreadMs));
}

bool
IsBackedOff(const Backpressure& aBackpressure, TimeMs aNowMs)
{
  return aNowMs < aBackpressure.mReturnMs;
}

int
InFlightLimit(const Backpressure& aBackpressure, TimeMs aNowMs)
{
  if (IsBackedOff(aBackpressure, aNowMs)) {
    return 0;
  }
  TimeMs step = (aNowMs - aBackpressure.mReturnMs) / kReturnStepMs;
  return step < kReturnSteps ? 1 << step : std::numeric_limits<int>::max();
}

} // namespace savory
