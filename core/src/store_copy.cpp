#include "savory/core/store_copy.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace savory {

namespace {

// Changes that are kept for peers that missed some.
constexpr std::size_t kMaxLogEntries = 512;
// The same in bytes of their keys and values, as values may be long documents.
constexpr std::size_t kMaxLogBytes = std::size_t{ 4 } * 1024 * 1024;

// Spans of whole lists that are kept; the log begins after those that are not.
constexpr std::size_t kMaxListedSpans = 64;

// Returns whether the entry was new.
bool
ApplyEntry(StoreCopy& aCopy, const StoreEntry& aEntry)
{
  auto found = aCopy.mEntries.find(aEntry.mKey);
  bool isKnown = found != aCopy.mEntries.end();
  if (isKnown && found->second.mModRevision >= aEntry.mModRevision) {
    return false;
  }
  if (!aEntry.mDeleted) {
    aCopy.mEntries[aEntry.mKey] = aEntry;
  } else if (isKnown) {
    aCopy.mEntries.erase(found);
  }
  return !aEntry.mDeleted || isKnown;
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

StoreChanges
ApplyList(StoreCopy& aCopy, const StoreEntries& aList)
{
  StoreChanges changes;
  changes.mIsFromList = true;
  changes.mFromRevision = aCopy.mRevision;
  std::int64_t revision = std::max(aCopy.mRevision, aList.mRevision);
  std::vector<StoreEntry> entries = aList.mEntries;
  AddDeletions(aCopy, 0, aList.mRevision, revision, entries);
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
  changes.mEntries = { revision, std::move(entries) };
  return changes;
}

std::vector<StoreEntry>
ApplyChanges(StoreCopy& aCopy, const StoreChanges& aChanges)
{
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
  // Peers may have keys that this copy never had.
  AddToLog(aCopy, entries);
  std::erase_if(entries, [&aCopy](const StoreEntry& aEntry) {
    return !ApplyEntry(aCopy, aEntry);
  });
  aCopy.mRevision = std::max(aCopy.mRevision, revision);
  return entries;
}

std::optional<StoreChanges>
ChangesAfter(const StoreCopy& aCopy, std::int64_t aRevision)
{
  bool isListed = std::any_of(
    aCopy.mListed.begin(), aCopy.mListed.end(), [aRevision](const auto& aSpan) {
      return aRevision > aSpan.first && aRevision < aSpan.second;
    });
  if (aRevision < aCopy.mLogRevision || aCopy.mLogRevision == 0 || isListed) {
    return std::nullopt;
  }
  StoreChanges changes;
  changes.mFromRevision = aRevision;
  changes.mEntries.mRevision = aCopy.mRevision;
  std::copy_if(aCopy.mLog.begin(),
               aCopy.mLog.end(),
               std::back_inserter(changes.mEntries.mEntries),
               [aRevision](const StoreEntry& aEntry) {
                 return aEntry.mModRevision > aRevision;
               });
  return changes;
}

} // namespace savory
