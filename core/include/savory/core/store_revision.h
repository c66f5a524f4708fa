#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace savory {

// A revision of the store. The store begins a new epoch when it was restored
// from an older snapshot, in which it assigns revisions again; a revision of a
// newer epoch is newer than all of an older one.
struct StoreRevision
{
  std::int64_t mEpoch = 0;
  std::int64_t mRevision = 0;

  bool operator==(const StoreRevision&) const = default;
  std::strong_ordering operator<=>(const StoreRevision& aOther) const
  {
    return std::tie(mEpoch, mRevision) <=>
           std::tie(aOther.mEpoch, aOther.mRevision);
  }
};

// The largest epoch that is taken from other processes; a larger one is not
// plausible, and would hide all epochs below it.
inline constexpr std::int64_t kMaxStoreEpoch = (1 << 23) - 1;

} // namespace savory
