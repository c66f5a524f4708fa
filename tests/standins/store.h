#pragma once

#include "server.h"

#include <deque>
#include <map>
#include <set>

namespace savory {

// An in-memory store with the JSON mapping of the etcd v3 API. Faults: down,
// refuse (429, no effect), unavailable (503), slow_ms, lose_answers (count),
// lose_prefix (loses the answer of a call that wrote or deleted a key with the
// prefix), split_watch (sends each message with events in two chunks).
class StoreStandin : public Standin
{
public:
  explicit StoreStandin(EventLoop& aLoop);

  nlohmann::json Observations() override;
  void SetFaults(const nlohmann::json& aFaults) override;

protected:
  void Handle(const HttpRequest& aRequest, const Reply& aReply) override;

private:
  struct Value
  {
    std::string mValue;
    std::int64_t mCreateRevision = 0;
    std::int64_t mModRevision = 0;
    std::int64_t mVersion = 0;
    std::int64_t mLeaseId = 0;
  };
  struct Lease
  {
    int mTtlSeconds = 0;
    TimeMs mExpiresMs = 0;
  };
  // The keys in [mKey, mEnd). An empty mEnd means mKey alone, and a single zero
  // byte means all keys from mKey on.
  struct Range
  {
    std::string mKey;
    std::string mEnd;

    bool Contains(const std::string& aKey) const;
  };
  struct KeyChange
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

  void ServeCall(const HttpRequest& aRequest, const Reply& aReply);
  nlohmann::json ExecuteCall(const std::string& aKind,
                             const nlohmann::json& aBody);
  nlohmann::json ReadRange(const nlohmann::json& aBody) const;
  nlohmann::json ExecuteTransaction(const nlohmann::json& aBody);
  bool EvaluateCompare(const nlohmann::json& aCompare) const;
  void Put(const nlohmann::json& aBody);
  std::int64_t Delete(const Range& aRange);
  void StartWatch(const nlohmann::json& aBody, const Reply& aReply);
  void ExpireLeases();
  void RevokeLease(std::int64_t aId);
  // Sends the changes from an index of mHistory on to the watchers.
  void NotifyWatchers(std::size_t aFirstChange);
  void SendChanges(const Watcher& aWatcher, std::vector<KeyChange> aChanges);
  nlohmann::json MakeHeader() const;
  nlohmann::json MakeKeyJson(const std::string& aKey,
                             const Value& aValue) const;
  static Range ParseRange(const nlohmann::json& aBody);

  std::map<std::string, Value> mKeys;
  std::map<std::int64_t, Lease> mLeases;
  std::vector<KeyChange> mHistory;
  std::vector<Watcher> mWatchers;
  std::map<std::string, int> mCallCounts;
  std::set<std::string> mWrittenKeys;
  std::int64_t mRevision = 1;
  std::int64_t mLastLeaseId = 1000;
  std::size_t mNotifiedChanges = 0;
  Timer mExpiryTimer;
};

} // namespace savory
