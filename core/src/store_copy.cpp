#include "savory/core/store_copy.h"

#include "savory/core/value_delta.h"

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

// Answers to a watch up to this length are always read.
constexpr std::uint64_t kShortAnswerBytes = 64 * 1024;

// Size of an entry in a list beside its value, whose base64 is 4/3 as long.
constexpr std::size_t kListedEntryBytes = 128;

// More deltas than these in a row are replaced by the whole value, which costs
// the receiver less time to restore.
constexpr int kMaxDeltasInRow = 16;

// A delta above this share of the value is not used.
constexpr double kMaxDeltaShare = 0.5;

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
    StoreEntry& entry = aCopy.mEntries[aEntry.mKey];
    entry = aEntry;
    entry.mBaseRevision = 0;
    entry.mDelta.clear();
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

bool
IsLarge(const StoreEntry& aEntry)
{
  return aEntry.mBaseRevision > 0 || aEntry.mValue.size() >= kLargeValueBytes;
}

// Returns whether a later one of the entries is a newer version of the value.
std::vector<bool>
FindSuperseded(const std::vector<StoreEntry>& aEntries)
{
  std::vector<bool> superseded(aEntries.size());
  if (std::none_of(aEntries.begin(), aEntries.end(), IsLarge)) {
    return superseded;
  }
  std::map<std::string_view, bool> isPutLater;
  for (std::size_t i = aEntries.size(); i-- > 0;) {
    bool& isPut = isPutLater[aEntries[i].mKey];
    superseded[i] = isPut && IsLarge(aEntries[i]);
    isPut = !aEntries[i].mDeleted;
  }
  return superseded;
}

// Adds the delta to the copy's version of a large value.
void
AddDelta(const StoreCopy& aCopy, StoreEntry& aEntry)
{
  auto base = aCopy.mEntries.find(aEntry.mKey);
  if (aEntry.mBaseRevision > 0 || !IsLarge(aEntry) ||
      base == aCopy.mEntries.end() ||
      base->second.mModRevision >= aEntry.mModRevision) {
    return;
  }
  auto delta = MakeValueDelta(base->second.mValue, aEntry.mValue);
  if (delta && static_cast<double>(delta->size()) <=
                 kMaxDeltaShare * static_cast<double>(aEntry.mValue.size())) {
    aEntry.mBaseRevision = base->second.mModRevision;
    aEntry.mDelta = std::move(*delta);
  }
}

// Prepares entries that are new to the copy: drops superseded versions without
// a delta, which nobody needs, and adds deltas to the others. Returns those
// that are superseded nevertheless.
std::vector<bool>
PrepareEntries(const StoreCopy& aCopy, std::vector<StoreEntry>& aEntries)
{
  std::vector<bool> superseded = FindSuperseded(aEntries);
  std::vector<bool> kept;
  std::size_t count = 0;
  for (std::size_t i = 0; i < aEntries.size(); ++i) {
    if (superseded[i] && aEntries[i].mBaseRevision == 0) {
      continue;
    }
    AddDelta(aCopy, aEntries[i]);
    kept.push_back(superseded[i]);
    if (count != i) {
      aEntries[count] = std::move(aEntries[i]);
    }
    ++count;
  }
  aEntries.resize(count);
  return kept;
}

// The entry as the log has it and as hosts pass it on.
StoreEntry
WithoutResolvedValue(StoreEntry aEntry)
{
  if (aEntry.mBaseRevision > 0) {
    aEntry.mValue.clear();
  }
  return aEntry;
}

void
AddToLog(StoreCopy& aCopy, const std::vector<StoreEntry>& aEntries)
{
  for (const StoreEntry& entry : aEntries) {
    if (entry.mBaseRevision == 0 && IsLarge(entry)) {
      std::erase_if(aCopy.mLog, [&entry](const StoreEntry& aLogged) {
        return aLogged.mKey == entry.mKey && IsLarge(aLogged);
      });
    }
    aCopy.mLog.push_back(WithoutResolvedValue(entry));
  }
  auto size = [](const StoreEntry& aEntry) {
    return aEntry.mKey.size() + aEntry.mValue.size() + aEntry.mDelta.size();
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
  PrepareEntries(aCopy, entries);
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
  std::vector<bool> superseded = PrepareEntries(aCopy, entries);
  // Peers may have keys that this copy never had.
  AddToLog(aCopy, entries);
  std::vector<StoreEntry> applied;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (!superseded[i] && ApplyEntry(aCopy, entries[i])) {
      applied.push_back(std::move(entries[i]));
    }
  }
  aCopy.mRevision = std::max(aCopy.mRevision, revision);
  return applied;
}

bool
ResolveDeltas(const StoreCopy& aCopy, StoreChanges& aChanges)
{
  // The latest of the changes of each key.
  std::map<std::string_view, StoreEntry*> latest;
  std::size_t restoredBytes = 0;
  for (StoreEntry& entry : aChanges.mEntries.mEntries) {
    if (entry.mModRevision <= aCopy.mRevision) {
      continue;
    }
    if (entry.mBaseRevision > 0) {
      auto changed = latest.find(entry.mKey);
      auto copied = aCopy.mEntries.find(entry.mKey);
      StoreEntry* previous =
        changed != latest.end() ? changed->second : nullptr;
      const StoreEntry* base = previous ? previous
                               : copied != aCopy.mEntries.end()
                                 ? &copied->second
                                 : nullptr;
      if (!base || base->mModRevision != entry.mBaseRevision) {
        return false;
      }
      auto value = ApplyValueDelta(base->mValue, entry.mDelta);
      if (!value) {
        return false;
      }
      entry.mValue = std::move(*value);
      restoredBytes += entry.mValue.size();
      if (previous && previous->mBaseRevision > 0) {
        restoredBytes -= previous->mValue.size();
        previous->mValue = {};
      }
      if (restoredBytes > kMaxRestoredBytes) {
        return false;
      }
    }
    latest[entry.mKey] = &entry;
  }
  return true;
}

std::optional<StoreChanges>
ChangesAfter(const StoreCopy& aCopy,
             const StoreRevision& aRevision,
             ChangeForm aForm)
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
  std::map<std::string_view, int> deltas;
  for (const StoreEntry& entry : aCopy.mLog) {
    if (entry.mModRevision > after && entry.mBaseRevision > 0) {
      ++deltas[entry.mKey];
    }
  }
  for (const StoreEntry& entry : aCopy.mLog) {
    if (entry.mModRevision <= after) {
      continue;
    }
    if (entry.mBaseRevision == 0 || (aForm == ChangeForm::Deltas &&
                                     deltas[entry.mKey] <= kMaxDeltasInRow)) {
      changes.mEntries.mEntries.push_back(entry);
      continue;
    }
    // The newest version takes the place of all deltas.
    auto newest = aCopy.mEntries.find(entry.mKey);
    if (newest != aCopy.mEntries.end() &&
        newest->second.mModRevision == entry.mModRevision) {
      changes.mEntries.mEntries.push_back(newest->second);
    }
  }
  return changes;
}

bool
HasLargeValue(const std::vector<StoreEntry>& aEntries)
{
  return std::any_of(
    aEntries.begin(), aEntries.end(), [](const StoreEntry& aEntry) {
      return aEntry.mValue.size() >= kLargeValueBytes;
    });
}

std::uint64_t
MaxWatchAnswerBytes(const StoreCopy& aCopy, bool aIsOvertaken)
{
  if (aIsOvertaken) {
    return kShortAnswerBytes;
  }
  std::uint64_t listBytes = 0;
  for (const auto& [key, entry] : aCopy.mEntries) {
    listBytes += kListedEntryBytes + 4 * entry.mValue.size() / 3;
  }
  return std::max(kShortAnswerBytes, listBytes);
}

TimeMs
RestoreDelayMs(std::string_view aHost)
{
  return static_cast<TimeMs>(XXH3_64bits(aHost.data(), aHost.size()) %
                             kRestoreSpreadMs);
}

} // namespace savory
