#pragma once

#include "savory/core/types.h"

#include <limits>
#include <string_view>

namespace savory {

// A backend server that turns a request away may state for how long it wants
// none from this host. The hint binds this host only: another one may be served
// meanwhile, and hosts that a server turned away return one after the other.

// A longer hint is limited to this, so that no server is shut out for good. A
// new process of the server ends the hint in any case.
inline constexpr TimeMs kMaxBackpressureMs = 10LL * 60 * 1000;

struct Backpressure
{
  static constexpr TimeMs kNeverMs = std::numeric_limits<TimeMs>::min() / 2;

  // End of the time that the server stated.
  TimeMs mUntilMs = kNeverMs;
  // When this host sends again; later by this host's part of the spread.
  TimeMs mReturnMs = kNeverMs;
  // The hint was begun and its end was not reported yet.
  bool mIsReported = false;
};

// Takes a hint. A longer one in hand is not shortened. aHost and aServer choose
// this host's part of the spread.
void
OnBackpressureHint(Backpressure& aBackpressure,
                   TimeMs aForMs,
                   std::string_view aHost,
                   std::string_view aServer,
                   TimeMs aNowMs);

// Whether the server wants no request of this host at present.
bool
IsBackedOff(const Backpressure& aBackpressure, TimeMs aNowMs);

// The most requests of this host that may be at the server at once. After a
// hint it doubles in steps until it no longer matters.
int
InFlightLimit(const Backpressure& aBackpressure, TimeMs aNowMs);

} // namespace savory
