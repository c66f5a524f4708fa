#pragma once

#include "server.h"

#include <deque>
#include <map>
#include <set>

namespace savory {

// An in-memory store that speaks the etcd v3 JSON mapping. Faults: down,
// refuse (429, no effect), unavailable (503), slow_ms, lose_answers (count),
// lose_prefix, split_watch.
class StoreStandin : public Standin
{
public:
  explicit StoreStandin(EventLoop& aLoop);

  nlohmann::json Seen() override;
  void SetFaults(const nlohmann::json& aFaults) override;

protected:
  void Handle(const HttpRequest& aRequest, const Reply& aReply) override;

private:
  struct Value
  {
    std::string mValue;
    std::int64_t mCreated = 0;
    std::int64_t mModified = 0;
    std::int64_t mVersion = 0;
    std::int64_t mLease = 0;
  };
  struct Lease
  {
    int mSeconds = 0;
    TimeMs mEndMs = 0;
  };
  // Keys from mKey up to, but without, mEnd; one key when mEnd is empty and
  // all from mKey on when it is a zero byte.
  struct Range
  {
    std::string mKey;
    std::string mEnd;

    bool Has(const std::string& aKey) const;
  };
  struct Change
  {
    std::int64_t mRevision;
    std::string mKey;
    nlohmann::json mEvent;
  };
  struct Watcher
  {
    Reply mReply;
    Range mRange;
  };

  void Run(const HttpRequest& aRequest, const Reply& aReply);
  nlohmann::json Execute(const std::string& aKind, const nlohmann::json& aBody);
  nlohmann::json ReadRange(const nlohmann::json& aBody) const;
  nlohmann::json Transact(const nlohmann::json& aBody);
  bool Holds(const nlohmann::json& aCompare) const;
  void Put(const nlohmann::json& aBody);
  std::int64_t Delete(const Range& aRange);
  void StartWatch(const nlohmann::json& aBody, const Reply& aReply);
  void ExpireLeases();
  void EndLease(std::int64_t aId);
  // Gives the changes since a revision to the watchers.
  void Notify(std::size_t aFirstChange);
  void SendChanges(const Watcher& aWatcher, std::vector<Change> aChanges);
  nlohmann::json Header() const;
  nlohmann::json KeyJson(const std::string& aKey, const Value& aValue) const;
  static Range ReadKeys(const nlohmann::json& aBody);

  std::map<std::string, Value> mKeys;
  std::map<std::int64_t, Lease> mLeases;
  std::vector<Change> mHistory;
  std::vector<Watcher> mWatchers;
  std::map<std::string, int> mCalls;
  std::set<std::string> mWritten;
  std::int64_t mRevision = 1;
  std::int64_t mLastLease = 1000;
  std::size_t mNotified = 0;
  Timer mExpiry;
};

} // namespace savory
