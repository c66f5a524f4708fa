#pragma once

#include "savory/core/store_revision.h"
#include "savory/core/types.h"

#include <cstdint>
#include <deque>
#include <functional>
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
  // The epoch in which mModRevision was assigned. Copies set it.
  std::int64_t mEpoch = 0;
  // Where not 0, mDelta turns the value that the key had at this revision into
  // mValue (value_delta.h). Changes between hosts have the delta alone.
  std::int64_t mBaseRevision = 0;
  std::string mDelta = {};
};

StoreRevision
RevisionOf(const StoreEntry& aEntry);

// Entries of the store with a common prefix, or changes to them.
struct StoreEntries
{
  // The revision of the store that the entries reflect.
  std::int64_t mRevision = 0;
  std::vector<StoreEntry> mEntries;
  // The store has more entries after the last one.
  bool mHasMore = false;
  // The epoch of all revisions above.
  std::int64_t mEpoch = 0;
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

// After a restore of the store from an older snapshot: what was in force under
// a key before, which stays in force for a while although the store has lost
// it.
struct HeldEntry
{
  // mDeleted if there was no entry.
  StoreEntry mInForce;
  TimeMs mUntilMs = 0;
};

// A host's copy of all entries of the store. It grows by changes, or by whole
// lists where the store no longer has the history.
struct StoreCopy
{
  std::map<std::string, StoreEntry> mEntries;
  std::int64_t mRevision = 0;
  // The epoch of all revisions of the copy.
  std::int64_t mEpoch = 0;
  // The latest changes, complete after mLogRevision but for mListed and for
  // superseded versions of large values. Those of large values have the delta
  // alone, where there is one.
  std::deque<StoreEntry> mLog;
  std::int64_t mLogRevision = 0;
  // Spans of revisions that a whole list took the copy over, without the
  // changes between their ends: first and last revision.
  std::deque<std::pair<std::int64_t, std::int64_t>> mListed;
  // Keyed by key. mEntries has what the store has instead.
  std::map<std::string, HeldEntry> mHeld;
  // Hashes of the latest entries that were replaced or deleted, by which they
  // are recognized when a restore brings them back.
  std::deque<std::uint64_t> mReplaced;
};

// How long what a restore has lost stays in force: long enough for the operator
// to write again what it wrote since the snapshot.
inline constexpr TimeMs kRestoreHoldMs = 10000;

struct RestoreOptions
{
  TimeMs mNowMs = 0;
  // How long an entry that the new epoch lacks stays in force; kRestoreHoldMs
  // without a function.
  std::function<TimeMs(const std::string& aKey)> mLostHoldMs;
};

StoreRevision
RevisionOf(const StoreCopy& aCopy);

// Applies a whole list and returns what it changed, which other hosts need: the
// list is too large to send to each. Keys that the list lacks have been
// deleted, unless they were written after it. A list that is older than the
// copy changes nothing. One of a newer epoch replaces the copy: the result then
// has the entries of the new epoch that are put in force, which are no changes
// to any other copy. What the list lacks, and what it has in a state that is
// known to have been replaced before, is held as it was; it is decided by
// values, as revisions of two epochs can't be compared.
StoreChanges
ApplyList(StoreCopy& aCopy,
          const StoreEntries& aList,
          const RestoreOptions& aRestore = {});

// Ends what is held no longer. Returns the store's entries, or deletions, that
// are in force from now on.
std::vector<StoreEntry>
ReleaseHeld(StoreCopy& aCopy, TimeMs aNowMs);

// Values from this size on are passed on as deltas, and only the newest version
// of such a value matters.
inline constexpr std::size_t kLargeValueBytes = std::size_t{ 4 } * 1024;

// The most bytes of values that the deltas of one message are restored to; a
// few bytes of a delta can stand for megabytes.
inline constexpr std::size_t kMaxRestoredBytes = std::size_t{ 8 } * 1024 * 1024;

// Restores the values of changes that have deltas alone, of each key only the
// newest. Returns false if one of them builds on a version that the copy does
// not have, or if they exceed kMaxRestoredBytes; whole values can be asked for
// instead.
bool
ResolveDeltas(const StoreCopy& aCopy, StoreChanges& aChanges);

// Applies changes that begin at the copy's revision or before it, and returns
// those that were new to the copy; of a large value only the newest version.
// Changes of another epoch change nothing. Deltas must have been resolved.
std::vector<StoreEntry>
ApplyChanges(StoreCopy& aCopy, const StoreChanges& aChanges);

// How changes have the versions of large values.
enum class ChangeForm
{
  // As deltas to the version before, where that is known.
  Deltas,
  // The newest version as a whole.
  Values,
};

// The changes after a revision; empty if the copy does not know them all, as
// for a revision of another epoch.
std::optional<StoreChanges>
ChangesAfter(const StoreCopy& aCopy,
             const StoreRevision& aRevision,
             ChangeForm aForm = ChangeForm::Values);

// Whether one of the entries has a value of kLargeValueBytes or more.
bool
HasLargeValue(const std::vector<StoreEntry>& aEntries);

// The longest answer to a watch that is worth reading, in bytes. It has each
// version of a value, while a list of all entries has only the newest, so that
// a longer answer than a list is not. Where a peer has passed on a large value
// since the watch began (aIsOvertaken), a long answer repeats it.
std::uint64_t
MaxWatchAnswerBytes(const StoreCopy& aCopy, bool aIsOvertaken);

// How long a host waits with its first calls after a change of the epoch. All
// hosts learn of it within a second; the hash of their names spreads them.
TimeMs
RestoreDelayMs(std::string_view aHost);

} // namespace savory
