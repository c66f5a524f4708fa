#include "store.h"

#include "savory/platform/base64.h"

#include <algorithm>
#include <stdexcept>

namespace savory {

using nlohmann::json;

namespace {

// An error of the protocol, with its gRPC code and HTTP status.
struct StoreFault : std::runtime_error
{
  StoreFault(int aCode, int aStatus, const std::string& aReason)
    : std::runtime_error(aReason)
    , mCode(aCode)
    , mStatus(aStatus)
  {
  }

  int mCode;
  int mStatus;
};

// 64-bit numbers are texts in this mapping; plain numbers are taken too.
std::int64_t
Number(const json& aBody, const char* aName)
{
  auto found = aBody.find(aName);
  if (found == aBody.end()) {
    return 0;
  }
  return found->is_string() ? std::stoll(found->get<std::string>())
                            : found->get<std::int64_t>();
}

std::string
Bytes(const json& aBody, const char* aName)
{
  auto bytes = DecodeBase64(aBody.value(aName, std::string()));
  if (!bytes) {
    throw StoreFault(3, 400, std::string(aName) + " is not base64");
  }
  return *bytes;
}

// A field under its JSON name or its name in the protocol file.
json
Field(const json& aBody, const char* aName, const char* aOther)
{
  return aBody.contains(aName) ? aBody[aName]
                               : aBody.value(aOther, json::object());
}

} // namespace

bool
StoreStandin::Range::Has(const std::string& aKey) const
{
  if (mEnd.empty()) {
    return aKey == mKey;
  }
  return aKey >= mKey && (mEnd == std::string(1, '\0') || aKey < mEnd);
}

StoreStandin::StoreStandin(EventLoop& aLoop)
  : Standin(aLoop)
  , mExpiry(Timer::Every(aLoop, 20, [this] { ExpireLeases(); }))
{
}

json
StoreStandin::Seen()
{
  json keys = json::object();
  for (const auto& [key, value] : mKeys) {
    keys[key] = { { "value", value.mValue },
                  { "mod_revision", value.mModified },
                  { "lease", value.mLease } };
  }
  return { { "calls", mCalls },
           { "revision", mRevision },
           { "keys", keys },
           { "leases", mLeases.size() },
           { "watchers", mWatchers.size() } };
}

void
StoreStandin::SetFaults(const json& aFaults)
{
  Standin::SetFaults(aFaults);
  if (mFault.value("down", false)) {
    auto watchers = std::exchange(mWatchers, {});
    for (auto& watcher : watchers) {
      watcher.mReply->Abort();
    }
  }
}

void
StoreStandin::Handle(const HttpRequest& aRequest, const Reply& aReply)
{
  ++mCalls[aRequest.mPath.substr(std::min<std::size_t>(
    aRequest.mPath.size(), std::string_view("/v3/").size()))];
  if (mFault.value("down", false)) {
    aReply->Abort();
    return;
  }
  TimeMs delay = mFault.value("slow_ms", TimeMs(0));
  if (delay == 0) {
    Run(aRequest, aReply);
    return;
  }
  Later(delay, [this, aRequest, aReply] { Run(aRequest, aReply); });
}

void
StoreStandin::Run(const HttpRequest& aRequest, const Reply& aReply)
{
  try {
    // 1. Refusals, which have no effect.
    if (mFault.value("down", false)) {
      aReply->Abort();
      return;
    }
    if (mFault.value("refuse", false)) {
      throw StoreFault(8, 429, "etcdserver: too many requests");
    }
    if (mFault.value("unavailable", false)) {
      throw StoreFault(14, 503, "etcdserver: request timed out");
    }
    if (aRequest.mMethod != "POST" || !aRequest.mPath.starts_with("/v3/")) {
      throw StoreFault(5, 404, "Not Found");
    }
    json body = json::parse(aRequest.mBody);

    // 2. The effect.
    std::string kind = aRequest.mPath.substr(4);
    ExpireLeases();
    if (kind == "watch") {
      StartWatch(body, aReply);
      return;
    }
    mWritten.clear();
    json answer = Execute(kind, body);
    Notify(std::exchange(mNotified, mHistory.size()));

    // 3. The answer, unless it gets lost.
    std::string prefix = mFault.value("lose_prefix", std::string());
    bool lost =
      !prefix.empty() &&
      std::any_of(mWritten.begin(), mWritten.end(), [&](const auto& aKey) {
        return aKey.starts_with(prefix);
      });
    if (lost || TakeFault("lose_answers")) {
      aReply->Abort();
      return;
    }
    Answer(aReply, 200, answer);
  } catch (const StoreFault& fault) {
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
StoreStandin::Execute(const std::string& aKind, const json& aBody)
{
  if (aKind == "kv/range") {
    return ReadRange(aBody);
  }
  if (aKind == "kv/txn") {
    return Transact(aBody);
  }
  if (aKind == "kv/put") {
    ++mRevision;
    Put(aBody);
    return { { "header", Header() } };
  }
  if (aKind == "lease/grant") {
    std::int64_t id = Number(aBody, "ID");
    id = id ? id : ++mLastLease;
    int seconds = static_cast<int>(Number(aBody, "TTL"));
    mLeases[id] = { seconds, MonotonicMs() + seconds * 1000 };
    return { { "header", Header() },
             { "ID", std::to_string(id) },
             { "TTL", std::to_string(seconds) } };
  }
  if (aKind == "lease/keepalive") {
    std::int64_t id = Number(aBody, "ID");
    json result = { { "header", Header() }, { "ID", std::to_string(id) } };
    auto found = mLeases.find(id);
    if (found != mLeases.end()) {
      found->second.mEndMs = MonotonicMs() + found->second.mSeconds * 1000;
      result["TTL"] = std::to_string(found->second.mSeconds);
    }
    return { { "result", result } };
  }
  if (aKind == "lease/revoke") {
    std::int64_t id = Number(aBody, "ID");
    if (!mLeases.contains(id)) {
      throw StoreFault(5, 404, "etcdserver: requested lease not found");
    }
    EndLease(id);
    return { { "header", Header() } };
  }
  throw StoreFault(5, 404, "Not Found");
}

StoreStandin::Range
StoreStandin::ReadKeys(const json& aBody)
{
  return { Bytes(aBody, "key"), Bytes(aBody, "range_end") };
}

json
StoreStandin::ReadRange(const json& aBody) const
{
  Range range = ReadKeys(aBody);
  std::int64_t revision = Number(aBody, "revision");
  if (revision > mRevision) {
    throw StoreFault(11,
                     400,
                     "etcdserver: mvcc: required revision is a future "
                     "revision");
  }

  // 1. The rows as they are, or as they were at an earlier revision.
  std::map<std::string, json> rows;
  if (revision > 0 && revision < mRevision) {
    for (const auto& change : mHistory) {
      if (change.mRevision <= revision && range.Has(change.mKey)) {
        rows.erase(change.mKey);
        if (!change.mEvent.contains("type")) {
          rows[change.mKey] = change.mEvent["kv"];
        }
      }
    }
  } else {
    for (auto entry = mKeys.lower_bound(range.mKey);
         entry != mKeys.end() && range.Has(entry->first);
         ++entry) {
      rows[entry->first] = KeyJson(entry->first, entry->second);
    }
  }

  // 2. The first of them, as far as the limit goes.
  json keys = json::array();
  std::size_t limit = static_cast<std::size_t>(Number(aBody, "limit"));
  for (const auto& [key, row] : rows) {
    if (limit == 0 || keys.size() < limit) {
      keys.push_back(row);
    }
  }
  json answer = { { "header", Header() } };
  if (!keys.empty()) {
    answer["kvs"] = keys;
    answer["count"] = std::to_string(rows.size());
    answer["more"] = rows.size() > keys.size();
  }
  return answer;
}

json
StoreStandin::Transact(const json& aBody)
{
  // 1. The conditions.
  bool holds = true;
  for (const auto& compare : aBody.value("compare", json::array())) {
    holds = holds && Holds(compare);
  }
  json operations = aBody.value(holds ? "success" : "failure", json::array());

  // 2. Checks before any effect, since a transaction takes effect as a whole.
  bool writes = false;
  std::set<std::string> put;
  for (const auto& operation : operations) {
    json request = Field(operation, "requestPut", "request_put");
    if (request.empty()) {
      writes |= operation.contains("requestDeleteRange") ||
                operation.contains("request_delete_range");
      continue;
    }
    writes = true;
    std::int64_t lease = Number(request, "lease");
    if (lease != 0 && !mLeases.contains(lease)) {
      throw StoreFault(5, 404, "etcdserver: requested lease not found");
    }
    if (!put.insert(Bytes(request, "key")).second) {
      throw StoreFault(
        3, 400, "etcdserver: duplicate key given in txn request");
    }
  }

  // 3. The effect; all changes of a transaction share one revision.
  mRevision += writes ? 1 : 0;
  json responses = json::array();
  for (const auto& operation : operations) {
    if (json request = Field(operation, "requestPut", "request_put");
        !request.empty()) {
      Put(request);
      responses.push_back({ { "response_put", { { "header", Header() } } } });
    } else if (request =
                 Field(operation, "requestDeleteRange", "request_delete_range");
               !request.empty()) {
      auto deleted = Delete(ReadKeys(request));
      responses.push_back({ { "response_delete_range",
                              { { "deleted", std::to_string(deleted) } } } });
    } else {
      responses.push_back(
        { { "response_range",
            ReadRange(Field(operation, "requestRange", "request_range")) } });
    }
  }
  json answer = { { "header", Header() }, { "responses", responses } };
  if (holds) {
    answer["succeeded"] = true;
  }
  return answer;
}

bool
StoreStandin::Holds(const json& aCompare) const
{
  if (aCompare.value("target", std::string()) != "MOD" ||
      aCompare.value("result", std::string("EQUAL")) != "EQUAL") {
    throw StoreFault(12, 501, "only MOD EQUAL is compared here");
  }
  std::int64_t expected = aCompare.contains("modRevision")
                            ? Number(aCompare, "modRevision")
                            : Number(aCompare, "mod_revision");
  auto found = mKeys.find(Bytes(aCompare, "key"));
  return (found == mKeys.end() ? 0 : found->second.mModified) == expected;
}

void
StoreStandin::Put(const json& aBody)
{
  std::string key = Bytes(aBody, "key");
  std::int64_t lease = Number(aBody, "lease");
  if (lease != 0 && !mLeases.contains(lease)) {
    throw StoreFault(5, 404, "etcdserver: requested lease not found");
  }
  Value& value = mKeys[key];
  value.mValue = Bytes(aBody, "value");
  value.mCreated = value.mCreated ? value.mCreated : mRevision;
  value.mModified = mRevision;
  ++value.mVersion;
  value.mLease = lease;
  mWritten.insert(key);
  mHistory.push_back({ mRevision, key, { { "kv", KeyJson(key, value) } } });
}

std::int64_t
StoreStandin::Delete(const Range& aRange)
{
  std::int64_t count = 0;
  for (auto entry = mKeys.lower_bound(aRange.mKey);
       entry != mKeys.end() && aRange.Has(entry->first);) {
    mWritten.insert(entry->first);
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
    if (lease.mEndMs <= MonotonicMs()) {
      ended.push_back(id);
    }
  }
  for (std::int64_t id : ended) {
    EndLease(id);
  }
  Notify(std::exchange(mNotified, mHistory.size()));
}

void
StoreStandin::EndLease(std::int64_t aId)
{
  mLeases.erase(aId);
  std::vector<std::string> keys;
  for (const auto& [key, value] : mKeys) {
    if (value.mLease == aId) {
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
  json request = Field(aBody, "create_request", "createRequest");
  Watcher watcher{ aReply, ReadKeys(request) };
  std::int64_t from = Number(request, "start_revision");
  aReply->Start(200, { { "Content-Type", "application/json" } });
  json created = { { "result",
                     { { "header", Header() }, { "created", true } } } };
  aReply->Chunk(created.dump() + "\n");
  if (from > 0) {
    std::vector<Change> earlier;
    std::copy_if(
      mHistory.begin(),
      mHistory.end(),
      std::back_inserter(earlier),
      [&](const Change& aChange) { return aChange.mRevision >= from; });
    SendChanges(watcher, earlier);
  }
  mWatchers.push_back(watcher);
}

void
StoreStandin::Notify(std::size_t aFirstChange)
{
  std::erase_if(mWatchers, [](const Watcher& aWatcher) {
    return aWatcher.mReply->IsCallerDisconnected();
  });
  if (aFirstChange == mHistory.size()) {
    return;
  }
  std::vector<Change> changes(mHistory.begin() +
                                static_cast<std::ptrdiff_t>(aFirstChange),
                              mHistory.end());
  for (const auto& watcher : mWatchers) {
    SendChanges(watcher, changes);
  }
}

void
StoreStandin::SendChanges(const Watcher& aWatcher, std::vector<Change> aChanges)
{
  json events = json::array();
  for (const auto& change : aChanges) {
    if (aWatcher.mRange.Has(change.mKey)) {
      events.push_back(change.mEvent);
    }
  }
  if (events.empty()) {
    return;
  }
  json line = { { "result",
                  { { "header", Header() }, { "events", events } } } };
  std::string text = line.dump() + "\n";
  if (!mFault.value("split_watch", false)) {
    aWatcher.mReply->Chunk(text);
    return;
  }
  // Two chunks of the answer reach the client as two parts.
  aWatcher.mReply->Chunk(text.substr(0, text.size() / 2));
  aWatcher.mReply->Chunk(text.substr(text.size() / 2));
}

json
StoreStandin::Header() const
{
  return { { "cluster_id", "1" },
           { "member_id", "1" },
           { "revision", std::to_string(mRevision) } };
}

json
StoreStandin::KeyJson(const std::string& aKey, const Value& aValue) const
{
  json entry = { { "key", EncodeBase64(aKey) },
                 { "value", EncodeBase64(aValue.mValue) },
                 { "create_revision", std::to_string(aValue.mCreated) },
                 { "mod_revision", std::to_string(aValue.mModified) },
                 { "version", std::to_string(aValue.mVersion) } };
  if (aValue.mLease != 0) {
    entry["lease"] = std::to_string(aValue.mLease);
  }
  return entry;
}

} // namespace savory
