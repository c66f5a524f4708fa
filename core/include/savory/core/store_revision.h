#pragma once

#include <compare>
#include <cstdint>

namespace savory {

// A revision of the store. The store begins a new epoch when it was restored
// from an older snapshot, in which it assigns revisions again; a revision of a
// newer epoch is newer than all of an older one.
struct StoreRevision
{
  std::int64_t mEpoch = 0;
  std::int64_t mRevision = 0;

  auto operator<=>(const StoreRevision&) const = default;
};

// The largest epoch that is taken from other processes; a larger one is not
// plausible, and would hide all epochs below it.
inline constexpr std::int64_t kMaxStoreEpoch = (1 << 23) - 1;

} // namespace savory
