#include "store.h"

#include "savory/platform/base64.h"

#include <algorithm>
#include <stdexcept>

namespace savory {

using nlohmann::json;

namespace {

// An API error with its gRPC code and HTTP status.
struct EtcdError : std::runtime_error
{
  EtcdError(int aCode, int aStatus, const std::string& aReason)
    : std::runtime_error(aReason)
    , mCode(aCode)
    , mStatus(aStatus)
  {
  }

  int mCode;
  int mStatus;
};

// The JSON mapping writes 64-bit numbers as strings; plain numbers are accepted
// too.
std::int64_t
ParseInt64(const json& aBody, const char* aName)
{
  auto found = aBody.find(aName);
  if (found == aBody.end()) {
    return 0;
  }
  return found->is_string() ? std::stoll(found->get<std::string>())
                            : found->get<std::int64_t>();
}

std::string
DecodeField(const json& aBody, const char* aName)
{
  auto bytes = DecodeBase64(aBody.value(aName, std::string()));
  if (!bytes) {
    throw EtcdError(3, 400, std::string(aName) + " is not base64");
  }
  return *bytes;
}

// Returns a field by its JSON name or by its name in the .proto file.
json
FindField(const json& aBody, const char* aName, const char* aOther)
{
  return aBody.contains(aName) ? aBody[aName]
                               : aBody.value(aOther, json::object());
}

} // namespace

bool
StoreStandin::Range::Contains(const std::string& aKey) const
{
  if (mEnd.empty()) {
    return aKey == mKey;
  }
  return aKey >= mKey && (mEnd == std::string(1, '\0') || aKey < mEnd);
}

StoreStandin::StoreStandin(EventLoop& aLoop)
  : Standin(aLoop)
  , mExpiryTimer(Timer::Every(aLoop, 20, [this] { ExpireLeases(); }))
{
}

json
StoreStandin::Observations()
{
  json keys = json::object();
  for (const auto& [key, value] : mKeys) {
    keys[key] = { { "value", value.mValue },
                  { "mod_revision", value.mModRevision },
                  { "lease", value.mLeaseId } };
  }
  return { { "calls", mCallCounts },
           { "revision", mRevision },
           { "keys", keys },
           { "leases", mLeases.size() },
           { "watchers", mWatchers.size() } };
}

void
StoreStandin::SetFaults(const json& aFaults)
{
  Standin::SetFaults(aFaults);
  if (mFaults.value("down", false)) {
    auto watchers = std::exchange(mWatchers, {});
    for (auto& watcher : watchers) {
      watcher.mReply->Abort();
    }
  }
}

void
StoreStandin::Handle(const HttpRequest& aRequest, const Reply& aReply)
{
  ++mCallCounts[aRequest.mPath.substr(std::min<std::size_t>(
    aRequest.mPath.size(), std::string_view("/v3/").size()))];
  if (mFaults.value("down", false)) {
    aReply->Abort();
    return;
  }
  TimeMs delay = mFaults.value("slow_ms", TimeMs(0));
  if (delay == 0) {
    ServeCall(aRequest, aReply);
    return;
  }
  CallAfter(delay, [this, aRequest, aReply] { ServeCall(aRequest, aReply); });
}

void
StoreStandin::ServeCall(const HttpRequest& aRequest, const Reply& aReply)
{
  try {
    // 1. Refuse the call without an effect.
    if (mFaults.value("down", false)) {
      aReply->Abort();
      return;
    }
    if (mFaults.value("refuse", false)) {
      throw EtcdError(8, 429, "etcdserver: too many requests");
    }
    if (mFaults.value("unavailable", false)) {
      throw EtcdError(14, 503, "etcdserver: request timed out");
    }
    if (aRequest.mMethod != "POST" || !aRequest.mPath.starts_with("/v3/")) {
      throw EtcdError(5, 404, "Not Found");
    }
    json body = json::parse(aRequest.mBody);

    // 2. Execute it.
    std::string kind = aRequest.mPath.substr(4);
    ExpireLeases();
    if (kind == "watch") {
      StartWatch(body, aReply);
      return;
    }
    mWrittenKeys.clear();
    json answer = ExecuteCall(kind, body);
    NotifyWatchers(std::exchange(mNotifiedChanges, mHistory.size()));

    // 3. Answer, unless a fault loses the answer.
    std::string prefix = mFaults.value("lose_prefix", std::string());
    bool lost =
      !prefix.empty() &&
      std::any_of(mWrittenKeys.begin(),
                  mWrittenKeys.end(),
                  [&](const auto& aKey) { return aKey.starts_with(prefix); });
    if (lost || ConsumeFault("lose_answers")) {
      aReply->Abort();
      return;
    }
    Answer(aReply, 200, answer);
  } catch (const EtcdError& fault) {
    Answer(aReply,
           fault.mStatus,
           { { "error", fault.what() },
             { "message", fault.what() },
             { "code", fault.mCode } });
  } catch (const std::exception& error) {
    Answer(aReply, 400, { { "error", error.what() }, { "code", 3 } });
  }
}

json
StoreStandin::ExecuteCall(const std::string& aKind, const json& aBody)
{
  if (aKind == "kv/range") {
    return ReadRange(aBody);
  }
  if (aKind == "kv/txn") {
    return ExecuteTransaction(aBody);
  }
  if (aKind == "kv/put") {
    ++mRevision;
    Put(aBody);
    return { { "header", MakeHeader() } };
  }
  if (aKind == "lease/grant") {
    std::int64_t id = ParseInt64(aBody, "ID");
    id = id ? id : ++mLastLeaseId;
    int seconds = static_cast<int>(ParseInt64(aBody, "TTL"));
    mLeases[id] = { seconds, MonotonicMs() + seconds * 1000 };
    return { { "header", MakeHeader() },
             { "ID", std::to_string(id) },
             { "TTL", std::to_string(seconds) } };
  }
  if (aKind == "lease/keepalive") {
    std::int64_t id = ParseInt64(aBody, "ID");
    json result = { { "header", MakeHeader() }, { "ID", std::to_string(id) } };
    auto found = mLeases.find(id);
    if (found != mLeases.end()) {
      found->second.mExpiresMs =
        MonotonicMs() + found->second.mTtlSeconds * 1000;
      result["TTL"] = std::to_string(found->second.mTtlSeconds);
    }
    return { { "result", result } };
  }
  if (aKind == "lease/revoke") {
    std::int64_t id = ParseInt64(aBody, "ID");
    if (!mLeases.contains(id)) {
      throw EtcdError(5, 404, "etcdserver: requested lease not found");
    }
    RevokeLease(id);
    return { { "header", MakeHeader() } };
  }
  throw EtcdError(5, 404, "Not Found");
}

StoreStandin::Range
StoreStandin::ParseRange(const json& aBody)
{
  return { DecodeField(aBody, "key"), DecodeField(aBody, "range_end") };
}

json
StoreStandin::ReadRange(const json& aBody) const
{
  Range range = ParseRange(aBody);
  std::int64_t revision = ParseInt64(aBody, "revision");
  if (revision > mRevision) {
    throw EtcdError(11,
                    400,
                    "etcdserver: mvcc: required revision is a future "
                    "revision");
  }

  // 1. Collect the rows, as they are or as of an earlier revision.
  std::map<std::string, json> rows;
  if (revision > 0 && revision < mRevision) {
    for (const auto& change : mHistory) {
      if (change.mRevision <= revision && range.Contains(change.mKey)) {
        rows.erase(change.mKey);
        if (!change.mEvent.contains("type")) {
          rows[change.mKey] = change.mEvent["kv"];
        }
      }
    }
  } else {
    for (auto entry = mKeys.lower_bound(range.mKey);
         entry != mKeys.end() && range.Contains(entry->first);
         ++entry) {
      rows[entry->first] = MakeKeyJson(entry->first, entry->second);
    }
  }

  // 2. Return the first of them, up to the limit.
  json keys = json::array();
  std::size_t limit = static_cast<std::size_t>(ParseInt64(aBody, "limit"));
  for (const auto& [key, row] : rows) {
    if (limit == 0 || keys.size() < limit) {
      keys.push_back(row);
    }
  }
  json answer = { { "header", MakeHeader() } };
  if (!keys.empty()) {
    answer["kvs"] = keys;
    answer["count"] = std::to_string(rows.size());
    answer["more"] = rows.size() > keys.size();
  }
  return answer;
}

json
StoreStandin::ExecuteTransaction(const json& aBody)
{
  // 1. Evaluate the conditions.
  bool holds = true;
  for (const auto& compare : aBody.value("compare", json::array())) {
    holds = holds && EvaluateCompare(compare);
  }
  json operations = aBody.value(holds ? "success" : "failure", json::array());

  // 2. Check all operations before the first effect, since a transaction is
  // atomic.
  bool writes = false;
  std::set<std::string> put;
  for (const auto& operation : operations) {
    json request = FindField(operation, "requestPut", "request_put");
    if (request.empty()) {
      writes |= operation.contains("requestDeleteRange") ||
                operation.contains("request_delete_range");
      continue;
    }
    writes = true;
    std::int64_t lease = ParseInt64(request, "lease");
    if (lease != 0 && !mLeases.contains(lease)) {
      throw EtcdError(5, 404, "etcdserver: requested lease not found");
    }
    if (!put.insert(DecodeField(request, "key")).second) {
      throw EtcdError(3, 400, "etcdserver: duplicate key given in txn request");
    }
  }

  // 3. Execute the operations; all changes of a transaction share one revision.
  mRevision += writes ? 1 : 0;
  json responses = json::array();
  for (const auto& operation : operations) {
    if (json request = FindField(operation, "requestPut", "request_put");
        !request.empty()) {
      Put(request);
      responses.push_back(
        { { "response_put", { { "header", MakeHeader() } } } });
    } else if (request = FindField(
                 operation, "requestDeleteRange", "request_delete_range");
               !request.empty()) {
      auto deleted = Delete(ParseRange(request));
      responses.push_back({ { "response_delete_range",
                              { { "deleted", std::to_string(deleted) } } } });
    } else {
      responses.push_back(
        { { "response_range",
            ReadRange(
              FindField(operation, "requestRange", "request_range")) } });
    }
  }
  json answer = { { "header", MakeHeader() }, { "responses", responses } };
  if (holds) {
    answer["succeeded"] = true;
  }
  return answer;
}

bool
StoreStandin::EvaluateCompare(const json& aCompare) const
{
  if (aCompare.value("target", std::string()) != "MOD" ||
      aCompare.value("result", std::string("EQUAL")) != "EQUAL") {
    throw EtcdError(12, 501, "only MOD EQUAL is compared here");
  }
  std::int64_t expected = aCompare.contains("modRevision")
                            ? ParseInt64(aCompare, "modRevision")
                            : ParseInt64(aCompare, "mod_revision");
  auto found = mKeys.find(DecodeField(aCompare, "key"));
  return (found == mKeys.end() ? 0 : found->second.mModRevision) == expected;
}

void
StoreStandin::Put(const json& aBody)
{
  std::string key = DecodeField(aBody, "key");
  std::int64_t lease = ParseInt64(aBody, "lease");
  if (lease != 0 && !mLeases.contains(lease)) {
    throw EtcdError(5, 404, "etcdserver: requested lease not found");
  }
  Value& value = mKeys[key];
  value.mValue = DecodeField(aBody, "value");
  value.mCreateRevision =
    value.mCreateRevision ? value.mCreateRevision : mRevision;
  value.mModRevision = mRevision;
  ++value.mVersion;
  value.mLeaseId = lease;
  mWrittenKeys.insert(key);
  mHistory.push_back({ mRevision, key, { { "kv", MakeKeyJson(key, value) } } });
}

std::int64_t
StoreStandin::Delete(const Range& aRange)
{
  std::int64_t count = 0;
  for (auto entry = mKeys.lower_bound(aRange.mKey);
       entry != mKeys.end() && aRange.Contains(entry->first);) {
    mWrittenKeys.insert(entry->first);
    mHistory.push_back(
      { mRevision,
        entry->first,
        { { "type", "DELETE" },
          { "kv",
            { { "key", EncodeBase64(entry->first) },
              { "mod_revision", std::to_string(mRevision) } } } } });
    entry = mKeys.erase(entry);
    ++count;
  }
  return count;
}

void
StoreStandin::ExpireLeases()
{
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mExpiresMs <= MonotonicMs()) {
      ended.push_back(id);
    }
  }
  for (std::int64_t id : ended) {
    RevokeLease(id);
  }
  NotifyWatchers(std::exchange(mNotifiedChanges, mHistory.size()));
}

void
StoreStandin::RevokeLease(std::int64_t aId)
{
  mLeases.erase(aId);
  std::vector<std::string> keys;
  for (const auto& [key, value] : mKeys) {
    if (value.mLeaseId == aId) {
      keys.push_back(key);
    }
  }
  mRevision += keys.empty() ? 0 : 1;
  for (const auto& key : keys) {
    Delete({ key, "" });
  }
}

void
StoreStandin::StartWatch(const json& aBody, const Reply& aReply)
{
  json request = FindField(aBody, "create_request", "createRequest");
  Watcher watcher{ aReply, ParseRange(request) };
  std::int64_t from = ParseInt64(request, "start_revision");
  aReply->Start(200, { { "Content-Type", "application/json" } });
  json created = { { "result",
                     { { "header", MakeHeader() }, { "created", true } } } };
  aReply->Chunk(created.dump() + "\n");
  if (from > 0) {
    std::vector<KeyChange> earlier;
    std::copy_if(
      mHistory.begin(),
      mHistory.end(),
      std::back_inserter(earlier),
      [&](const KeyChange& aChange) { return aChange.mRevision >= from; });
    SendChanges(watcher, earlier);
  }
  mWatchers.push_back(watcher);
}

void
StoreStandin::NotifyWatchers(std::size_t aFirstChange)
{
  std::erase_if(mWatchers, [](const Watcher& aWatcher) {
    return aWatcher.mReply->IsCallerDisconnected();
  });
  if (aFirstChange == mHistory.size()) {
    return;
  }
  std::vector<KeyChange> changes(mHistory.begin() +
                                   static_cast<std::ptrdiff_t>(aFirstChange),
                                 mHistory.end());
  for (const auto& watcher : mWatchers) {
    SendChanges(watcher, changes);
  }
}

void
StoreStandin::SendChanges(const Watcher& aWatcher,
                          std::vector<KeyChange> aChanges)
{
  json events = json::array();
  for (const auto& change : aChanges) {
    if (aWatcher.mRange.Contains(change.mKey)) {
      events.push_back(change.mEvent);
    }
  }
  if (events.empty()) {
    return;
  }
  json line = { { "result",
                  { { "header", MakeHeader() }, { "events", events } } } };
  std::string text = line.dump() + "\n";
  if (!mFaults.value("split_watch", false)) {
    aWatcher.mReply->Chunk(text);
    return;
  }
  // Two HTTP chunks reach the client separately.
  aWatcher.mReply->Chunk(text.substr(0, text.size() / 2));
  aWatcher.mReply->Chunk(text.substr(text.size() / 2));
}

json
StoreStandin::MakeHeader() const
{
  return { { "cluster_id", "1" },
           { "member_id", "1" },
           { "revision", std::to_string(mRevision) } };
}

json
StoreStandin::MakeKeyJson(const std::string& aKey, const Value& aValue) const
{
  json entry = { { "key", EncodeBase64(aKey) },
                 { "value", EncodeBase64(aValue.mValue) },
                 { "create_revision", std::to_string(aValue.mCreateRevision) },
                 { "mod_revision", std::to_string(aValue.mModRevision) },
                 { "version", std::to_string(aValue.mVersion) } };
  if (aValue.mLeaseId != 0) {
    entry["lease"] = std::to_string(aValue.mLeaseId);
  }
  return entry;
}

} // namespace savory
