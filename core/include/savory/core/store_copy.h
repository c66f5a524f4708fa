#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savory {

// A key of the store with its value. mModRevision is the store's revision of
// the last write to the key, which a compare-and-swap compares.
struct StoreEntry
{
  std::string mKey;
  std::string mValue;
  std::int64_t mModRevision = 0;
  // Set only in changes: the key was deleted and has no value.
  bool mDeleted = false;
};

// Entries of the store with a common prefix, or changes to them.
struct StoreEntries
{
  // The revision of the store that the entries reflect.
  std::int64_t mRevision = 0;
  std::vector<StoreEntry> mEntries;
  // The store has more entries after the last one.
  bool mHasMore = false;
};

// Changes of the store after mFromRevision, up to and including the revision of
// mEntries.
struct StoreChanges
{
  std::int64_t mFromRevision = 0;
  StoreEntries mEntries;
  // The changes are the difference between a host's copy and a whole list. Keys
  // that were written after mFromRevision and deleted since are missing: that
  // host never saw them.
  bool mIsFromList = false;
};

// A host's copy of all entries of the store. It grows by changes, or by whole
// lists where the store no longer has the history.
struct StoreCopy
{
  std::map<std::string, StoreEntry> mEntries;
  std::int64_t mRevision = 0;
  // The latest changes, complete after mLogRevision but for mListed.
  std::deque<StoreEntry> mLog;
  std::int64_t mLogRevision = 0;
  // Spans of revisions that a whole list took the copy over, without the
  // changes between their ends: first and last revision.
  std::deque<std::pair<std::int64_t, std::int64_t>> mListed;
};

// Applies a whole list and returns what it changed, which other hosts need: the
// list is too large to send to each. Keys that the list lacks have been
// deleted, unless they were written after it.
StoreChanges
ApplyList(StoreCopy& aCopy, const StoreEntries& aList);

// Applies changes that begin at the copy's revision or before it, and returns
// those that were new to the copy.
std::vector<StoreEntry>
ApplyChanges(StoreCopy& aCopy, const StoreChanges& aChanges);

// The changes after a revision; empty if the copy does not know them all.
std::optional<StoreChanges>
ChangesAfter(const StoreCopy& aCopy, std::int64_t aRevision);

} // namespace savory
