#include "savory/core/store_copy.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>

using namespace savory;

namespace {

using Keys = std::map<std::string, std::int64_t>;

Keys
KeysOf(const StoreCopy& aCopy)
{
  Keys keys;
  for (const auto& [key, entry] : aCopy.mEntries) {
    keys[key] = entry.mModRevision;
  }
  return keys;
}

// The store, with its whole history and a revision before which it gives none.
struct SimStore
{
  std::vector<StoreEntry> mHistory;
  std::map<std::string, StoreEntry> mEntries;
  std::int64_t mRevision = 1;
  std::int64_t mCompactedRevision = 0;

  void Write(const std::string& aKey, bool aDeletes)
  {
    StoreEntry entry{ aKey, "", ++mRevision, aDeletes };
    mHistory.push_back(entry);
    if (aDeletes) {
      mEntries.erase(aKey);
    } else {
      mEntries[aKey] = entry;
    }
  }

  StoreEntries List() const
  {
    StoreEntries list{ mRevision, {} };
    for (const auto& [key, entry] : mEntries) {
      list.mEntries.push_back(entry);
    }
    return list;
  }

  std::optional<StoreChanges> ChangesAfter(std::int64_t aRevision) const
  {
    if (aRevision < mCompactedRevision) {
      return std::nullopt;
    }
    StoreChanges changes{ aRevision, { mRevision, {} } };
    std::copy_if(mHistory.begin(),
                 mHistory.end(),
                 std::back_inserter(changes.mEntries.mEntries),
                 [aRevision](const StoreEntry& aEntry) {
                   return aEntry.mModRevision > aRevision;
                 });
    return changes;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_copy)

// Guards against a key that stays at a host after it was deleted: written and
// deleted between the copy of the host that sent the difference and its list.
BOOST_AUTO_TEST_CASE(difference_to_a_list_deletes_what_its_sender_never_saw)
{
  SimStore store;
  StoreCopy watcher;
  StoreCopy follower;
  store.Write("a", false);
  ApplyList(watcher, store.List());
  ApplyList(follower, store.List());
  store.Write("b", false);
  ApplyChanges(follower, *store.ChangesAfter(follower.mRevision));
  store.Write("b", true);
  store.Write("c", false);
  ApplyChanges(follower, ApplyList(watcher, store.List()));
  BOOST_TEST((KeysOf(follower) == KeysOf(watcher)));
  BOOST_TEST(!follower.mEntries.contains("b"));
}

// Guards against a log with a hole where a whole list was read.
BOOST_AUTO_TEST_CASE(log_gives_no_changes_from_within_a_list)
{
  SimStore store;
  store.Write("a", false);
  StoreCopy copy;
  ApplyList(copy, store.List());
  std::int64_t first = copy.mRevision;
  store.Write("b", false);
  store.Write("b", true);
  store.Write("c", false);
  ApplyList(copy, store.List());
  BOOST_TEST(ChangesAfter(copy, first).has_value());
  BOOST_TEST(!ChangesAfter(copy, first + 1).has_value());
  BOOST_TEST(!ChangesAfter(copy, first + 2).has_value());
  BOOST_TEST(ChangesAfter(copy, copy.mRevision).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
