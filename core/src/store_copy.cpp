#include "savory/core/store_copy.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <xxhash.h>

namespace savory {

namespace {

// Changes that are kept for peers that missed some.
constexpr std::size_t kMaxLogEntries = 512;
// The same in bytes of their keys and values, as values may be long documents.
constexpr std::size_t kMaxLogBytes = std::size_t{ 4 } * 1024 * 1024;

// Spans of whole lists that are kept; the log begins after those that are not.
constexpr std::size_t kMaxListedSpans = 64;

// Hashes of replaced entries that are kept. A snapshot is some seconds old; a
// restore itself replaces the registrations of all 12,000 runners.
constexpr std::size_t kMaxReplaced = 32 * 1024;

// Over which the first calls of all hosts after a restore are spread.
constexpr std::uint64_t kRestoreSpreadMs = 500;

std::uint64_t
HashOf(const StoreEntry& aEntry)
{
  std::uint64_t key =
    XXH3_64bits_withSeed(aEntry.mKey.data(),
                         aEntry.mKey.size(),
                         static_cast<std::uint64_t>(aEntry.mModRevision));
  return XXH3_64bits_withSeed(aEntry.mValue.data(), aEntry.mValue.size(), key);
}

// Hash of an entry by its value alone: a writer that repeats after a restore
// what was lost gives it another revision.
std::uint64_t
ValueHashOf(const StoreEntry& aEntry)
{
  return HashOf({ aEntry.mKey, aEntry.mValue, 0 });
}

void
AddReplaced(StoreCopy& aCopy, std::uint64_t aHash)
{
  aCopy.mReplaced.push_back(aHash);
  if (aCopy.mReplaced.size() > kMaxReplaced) {
    aCopy.mReplaced.pop_front();
  }
}

// Returns whether the entry was new.
bool
ApplyEntry(StoreCopy& aCopy, const StoreEntry& aEntry)
{
  auto found = aCopy.mEntries.find(aEntry.mKey);
  bool isKnown = found != aCopy.mEntries.end();
  if (isKnown && found->second.mModRevision >= aEntry.mModRevision) {
    return false;
  }
  bool wasHeld = aCopy.mHeld.erase(aEntry.mKey) > 0;
  if (isKnown) {
    AddReplaced(aCopy, HashOf(found->second));
  }
  if (!aEntry.mDeleted) {
    aCopy.mEntries[aEntry.mKey] = aEntry;
  } else if (isKnown) {
    aCopy.mEntries.erase(found);
  }
  return !aEntry.mDeleted || isKnown || wasHeld;
}

bool
IsSameState(const StoreEntry& aLeft, const StoreEntry& aRight)
{
  return aLeft.mDeleted == aRight.mDeleted && aLeft.mValue == aRight.mValue;
}

// What is in force under each key of the copy.
std::map<std::string, StoreEntry>
TakeInForce(StoreCopy& aCopy)
{
  std::map<std::string, StoreEntry> inForce = std::move(aCopy.mEntries);
  for (auto& [key, held] : aCopy.mHeld) {
    inForce[key] = std::move(held.mInForce);
  }
  aCopy.mEntries.clear();
  aCopy.mHeld.clear();
  return inForce;
}

// Replaces the copy by the list of a newer epoch, and returns the entries that
// are put in force.
std::vector<StoreEntry>
ApplyRestoredList(StoreCopy& aCopy,
                  const StoreEntries& aList,
                  const RestoreOptions& aRestore)
{
  std::map<std::string, StoreEntry> inForce = TakeInForce(aCopy);
  const std::set<std::uint64_t> replaced(aCopy.mReplaced.begin(),
                                         aCopy.mReplaced.end());
  aCopy.mEpoch = aList.mEpoch;
  aCopy.mRevision = aList.mRevision;
  aCopy.mLog.clear();
  aCopy.mLogRevision = aList.mRevision;
  aCopy.mListed.clear();
  std::vector<StoreEntry> entries;
  for (StoreEntry entry : aList.mEntries) {
    entry.mEpoch = aList.mEpoch;
    aCopy.mEntries[entry.mKey] = entry;
    auto found = inForce.find(entry.mKey);
    StoreEntry before{ entry.mKey, {}, 0, true };
    if (found != inForce.end()) {
      before = std::move(found->second);
      inForce.erase(found);
    }
    bool isSame = IsSameState(before, entry);
    if (!isSame && (replaced.contains(HashOf(entry)) ||
                    replaced.contains(ValueHashOf(entry)))) {
      aCopy.mHeld[entry.mKey] = { std::move(before),
                                  aRestore.mNowMs + kRestoreHoldMs };
      continue;
    }
    if (!isSame && !before.mDeleted) {
      AddReplaced(aCopy, HashOf(before));
      AddReplaced(aCopy, ValueHashOf(before));
    }
    entries.push_back(std::move(entry));
  }
  for (auto& [key, before] : inForce) {
    if (!before.mDeleted) {
      TimeMs holdMs =
        aRestore.mLostHoldMs ? aRestore.mLostHoldMs(key) : kRestoreHoldMs;
      aCopy.mHeld[key] = { std::move(before), aRestore.mNowMs + holdMs };
    }
  }
  return entries;
}

void
AddToLog(StoreCopy& aCopy, const std::vector<StoreEntry>& aEntries)
{
  aCopy.mLog.insert(aCopy.mLog.end(), aEntries.begin(), aEntries.end());
  auto size = [](const StoreEntry& aEntry) {
    return aEntry.mKey.size() + aEntry.mValue.size();
  };
  std::size_t bytes = 0;
  for (const StoreEntry& entry : aCopy.mLog) {
    bytes += size(entry);
  }
  while (aCopy.mLog.size() > kMaxLogEntries || bytes > kMaxLogBytes) {
    bytes -= size(aCopy.mLog.front());
    aCopy.mLogRevision =
      std::max(aCopy.mLogRevision, aCopy.mLog.front().mModRevision);
    aCopy.mLog.pop_front();
  }
  if (aCopy.mListed.size() > kMaxListedSpans) {
    std::size_t oldest = aCopy.mListed.size() - kMaxListedSpans - 1;
    aCopy.mLogRevision =
      std::max(aCopy.mLogRevision, aCopy.mListed[oldest].second);
  }
  while (!aCopy.mListed.empty() &&
         aCopy.mListed.front().second <= aCopy.mLogRevision) {
    aCopy.mListed.pop_front();
  }
}

void
SetEpoch(std::vector<StoreEntry>& aEntries, std::int64_t aEpoch)
{
  for (StoreEntry& entry : aEntries) {
    entry.mEpoch = aEpoch;
  }
}

// Moves the copy to a revision that a list has.
void
AdvanceByList(StoreCopy& aCopy, std::int64_t aRevision)
{
  if (aRevision > aCopy.mRevision) {
    aCopy.mListed.emplace_back(aCopy.mRevision, aRevision);
    aCopy.mRevision = aRevision;
  }
}

// Adds the deletions of keys that were written after aFromRevision and that
// aEntries, from a list, lacks.
void
AddDeletions(const StoreCopy& aCopy,
             std::int64_t aFromRevision,
             std::int64_t aListRevision,
             std::int64_t aDeletionRevision,
             std::vector<StoreEntry>& aEntries)
{
  std::set<std::string> listed;
  for (const StoreEntry& entry : aEntries) {
    listed.insert(entry.mKey);
  }
  for (const auto& [key, entry] : aCopy.mEntries) {
    if (!listed.contains(key) && entry.mModRevision > aFromRevision &&
        entry.mModRevision <= aListRevision) {
      aEntries.push_back({ key, {}, aDeletionRevision, true });
    }
  }
}

} // namespace

StoreRevision
RevisionOf(const StoreEntry& aEntry)
{
  return { aEntry.mEpoch, aEntry.mModRevision };
}

StoreRevision
RevisionOf(const StoreCopy& aCopy)
{
  return { aCopy.mEpoch, aCopy.mRevision };
}

StoreChanges
ApplyList(StoreCopy& aCopy,
          const StoreEntries& aList,
          const RestoreOptions& aRestore)
{
  StoreChanges changes;
  changes.mIsFromList = true;
  changes.mFromRevision = aCopy.mRevision;
  changes.mEntries.mEpoch = aCopy.mEpoch;
  changes.mEntries.mRevision = aCopy.mRevision;
  if (aCopy.mRevision == 0) {
    aCopy.mEpoch = aList.mEpoch;
    changes.mEntries.mEpoch = aList.mEpoch;
  } else if (aList.mEpoch < aCopy.mEpoch) {
    return changes;
  } else if (aList.mEpoch > aCopy.mEpoch) {
    changes.mFromRevision = 0;
    changes.mEntries = { aList.mRevision,
                         ApplyRestoredList(aCopy, aList, aRestore),
                         false,
                         aList.mEpoch };
    return changes;
  }
  if (aList.mRevision < aCopy.mRevision) {
    // The copy no longer knows which keys of the list were deleted since.
    return changes;
  }
  std::int64_t revision = aList.mRevision;
  std::vector<StoreEntry> entries = aList.mEntries;
  AddDeletions(aCopy, 0, revision, revision, entries);
  SetEpoch(entries, aCopy.mEpoch);
  std::erase_if(entries, [&aCopy](const StoreEntry& aEntry) {
    return !ApplyEntry(aCopy, aEntry);
  });
  bool isFirst = aCopy.mRevision == 0;
  if (isFirst) {
    aCopy.mRevision = revision;
    aCopy.mLogRevision = revision;
  } else {
    AdvanceByList(aCopy, revision);
    AddToLog(aCopy, entries);
  }
  changes.mEntries = { revision, std::move(entries), false, aCopy.mEpoch };
  return changes;
}

std::vector<StoreEntry>
ReleaseHeld(StoreCopy& aCopy, TimeMs aNowMs)
{
  std::vector<StoreEntry> released;
  for (auto held = aCopy.mHeld.begin(); held != aCopy.mHeld.end();) {
    if (aNowMs < held->second.mUntilMs) {
      ++held;
      continue;
    }
    if (!held->second.mInForce.mDeleted) {
      AddReplaced(aCopy, HashOf(held->second.mInForce));
    }
    auto stored = aCopy.mEntries.find(held->first);
    released.push_back(
      stored != aCopy.mEntries.end()
        ? stored->second
        : StoreEntry{ held->first, {}, aCopy.mRevision, true, aCopy.mEpoch });
    held = aCopy.mHeld.erase(held);
  }
  return released;
}

std::vector<StoreEntry>
ApplyChanges(StoreCopy& aCopy, const StoreChanges& aChanges)
{
  if (aChanges.mEntries.mEpoch != aCopy.mEpoch) {
    return {};
  }
  std::int64_t revision = aChanges.mEntries.mRevision;
  std::vector<StoreEntry> entries = aChanges.mEntries.mEntries;
  std::int64_t known = aCopy.mRevision;
  if (aChanges.mIsFromList && aCopy.mRevision < revision) {
    AddDeletions(aCopy, aChanges.mFromRevision, revision, revision, entries);
    AdvanceByList(aCopy, revision);
  }
  // The first ones may have arrived before; a key may have been deleted since.
  std::erase_if(entries, [known](const StoreEntry& aEntry) {
    return aEntry.mModRevision <= known;
  });
  SetEpoch(entries, aCopy.mEpoch);
  // Peers may have keys that this copy never had.
  AddToLog(aCopy, entries);
  std::erase_if(entries, [&aCopy](const StoreEntry& aEntry) {
    return !ApplyEntry(aCopy, aEntry);
  });
  aCopy.mRevision = std::max(aCopy.mRevision, revision);
  return entries;
}

std::optional<StoreChanges>
ChangesAfter(const StoreCopy& aCopy, const StoreRevision& aRevision)
{
  if (aRevision.mEpoch != aCopy.mEpoch) {
    return std::nullopt;
  }
  std::int64_t after = aRevision.mRevision;
  bool isListed = std::any_of(
    aCopy.mListed.begin(), aCopy.mListed.end(), [after](const auto& aSpan) {
      return after > aSpan.first && after < aSpan.second;
    });
  if (after < aCopy.mLogRevision || aCopy.mLogRevision == 0 || isListed) {
    return std::nullopt;
  }
  StoreChanges changes;
  changes.mFromRevision = after;
  changes.mEntries.mRevision = aCopy.mRevision;
  changes.mEntries.mEpoch = aCopy.mEpoch;
  std::copy_if(
    aCopy.mLog.begin(),
    aCopy.mLog.end(),
    std::back_inserter(changes.mEntries.mEntries),
    [after](const StoreEntry& aEntry) { return aEntry.mModRevision > after; });
  return changes;
}

TimeMs
RestoreDelayMs(std::string_view aHost)
{
  return static_cast<TimeMs>(XXH3_64bits(aHost.data(), aHost.size()) %
                             kRestoreSpreadMs);
}

} // namespace savory
