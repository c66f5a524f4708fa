#include "confirm.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace savory {

using nlohmann::json;

namespace {

// Open connections at once; a fleet has thousands of hosts.
constexpr std::size_t kAtOnce = 128;
constexpr TimeMs kAskTimeoutMs = 1000;
constexpr TimeMs kAskPauseMs = 100;
// How often the hint is repeated and the list of hosts read again.
constexpr TimeMs kRefreshMs = 1000;

// The revision that a state dump names; nothing when it is no state dump.
std::optional<std::int64_t>
RevisionOf(const HttpResult& aResult)
{
  if (!aResult || aResult->mStatus != 200) {
    return std::nullopt;
  }
  json state = json::parse(aResult->mBody, nullptr, false);
  if (!state.is_object() || !state.contains("revision") ||
      !state["revision"].is_number_integer()) {
    return std::nullopt;
  }
  return state["revision"].get<std::int64_t>();
}

} // namespace

std::string
ReasonOf(const HttpResult& aResult)
{
  if (!aResult) {
    return std::string(ToName(kHttpErrorNames, aResult.error()));
  }
  if (aResult->mStatus == 401) {
    return "refuses the operators' token or has no configuration yet";
  }
  return "status " + std::to_string(aResult->mStatus);
}

std::vector<HttpResult>
AskHosts(Session& aSession,
         const std::vector<Host>& aHosts,
         const std::string& aMethod,
         const std::string& aPath,
         TimeMs aTimeoutMs)
{
  std::vector<HttpResult> results;
  for (std::size_t first = 0; first < aHosts.size(); first += kAtOnce) {
    std::vector<HttpCall> calls;
    std::size_t end = std::min(aHosts.size(), first + kAtOnce);
    for (std::size_t i = first; i < end; ++i) {
      calls.push_back({ .mServer = aHosts[i].mAdmin,
                        .mMethod = aMethod,
                        .mTarget = aPath,
                        .mHeaders = { { "x-savory-operator-token",
                                        aSession.mSettings.mToken } },
                        .mBody = {},
                        .mTimeoutMs = aTimeoutMs,
                        .mMaxBytes = 64ul * 1024 * 1024 });
    }
    for (auto& result : aSession.Fetch(std::move(calls))) {
      results.push_back(std::move(result));
    }
  }
  return results;
}

Confirmation
WaitForRevision(Session& aSession, std::int64_t aRevision)
{
  TimeMs start = MonotonicMs();
  TimeMs end = start + aSession.mSettings.mWaitMs;
  TimeMs refreshAt = start;
  Confirmation confirmation;
  std::vector<Host> waiting;
  std::set<std::string> confirmed;
  while (true) {
    // 1. The list of hosts, which changes while the tool waits, and the hint.
    bool refresh = MonotonicMs() >= refreshAt;
    if (refresh) {
      refreshAt = MonotonicMs() + kRefreshMs;
      auto hosts = aSession.Hosts();
      if (hosts) {
        confirmation.mListed = true;
        waiting = *hosts;
        std::erase_if(waiting, [&](const Host& aHost) {
          return confirmed.contains(aHost.mName);
        });
      }
      AskHosts(aSession, waiting, "POST", "/refresh", kAskTimeoutMs);
    }

    // 2. Who has the revision.
    auto states = AskHosts(aSession, waiting, "GET", "/state", kAskTimeoutMs);
    std::vector<Host> still;
    confirmation.mUnconfirmed.clear();
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      auto revision = RevisionOf(states[i]);
      if (revision && *revision >= aRevision) {
        confirmed.insert(waiting[i].mName);
        continue;
      }
      confirmation.mUnconfirmed.push_back(
        { waiting[i].mName,
          revision ? "has revision " + std::to_string(*revision)
                   : ReasonOf(states[i]) });
      still.push_back(waiting[i]);
    }
    waiting = std::move(still);

    // 3. Again, unless all have it or the time is over.
    confirmation.mConfirmed = confirmed.size();
    confirmation.mTookMs = MonotonicMs() - start;
    if ((confirmation.mListed && waiting.empty()) ||
        MonotonicMs() + kAskPauseMs > end) {
      return confirmation;
    }
    aSession.Pause(kAskPauseMs);
  }
}

} // namespace savory
