#include "confirm.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace savory {

using nlohmann::json;

namespace {

// Bounds the open connections, since a fleet has thousands of hosts.
constexpr std::size_t kMaxConcurrentCalls = 128;
constexpr TimeMs kHostTimeoutMs = 1000;
constexpr TimeMs kPollIntervalMs = 100;
// How often the host list is read again and POST /refresh repeated.
constexpr TimeMs kRefreshIntervalMs = 1000;

// Returns the revision in a state dump, or nothing if the result is not one.
std::optional<std::int64_t>
ParseRevision(const HttpResult& aResult)
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
DescribeHttpFailure(const HttpResult& aResult)
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
QueryHosts(BlockingClient& aClient,
           const std::vector<Host>& aHosts,
           const std::string& aMethod,
           const std::string& aPath,
           TimeMs aTimeoutMs)
{
  std::vector<HttpResult> results;
  for (std::size_t first = 0; first < aHosts.size();
       first += kMaxConcurrentCalls) {
    std::vector<HttpCall> calls;
    std::size_t end = std::min(aHosts.size(), first + kMaxConcurrentCalls);
    for (std::size_t i = first; i < end; ++i) {
      calls.push_back({ .mServer = aHosts[i].mAdmin,
                        .mMethod = aMethod,
                        .mTarget = aPath,
                        .mHeaders = { { "x-savory-operator-token",
                                        aClient.mSettings.mOperatorToken } },
                        .mBody = {},
                        .mTimeoutMs = aTimeoutMs,
                        .mMaxBytes = 64ul * 1024 * 1024 });
    }
    for (auto& result : aClient.Fetch(std::move(calls))) {
      results.push_back(std::move(result));
    }
  }
  return results;
}

HostConfirmation
WaitForRevision(BlockingClient& aClient, std::int64_t aRevision)
{
  TimeMs start = MonotonicMs();
  TimeMs end = start + aClient.mSettings.mWaitMs;
  TimeMs nextRefreshMs = start;
  HostConfirmation confirmation;
  std::vector<Host> waiting;
  std::set<std::string> confirmed;
  while (true) {
    // 1. Read the host list, which can change during the wait, and ask the
    // hosts to refresh their configuration.
    bool refresh = MonotonicMs() >= nextRefreshMs;
    if (refresh) {
      nextRefreshMs = MonotonicMs() + kRefreshIntervalMs;
      auto hosts = aClient.FetchHosts();
      if (hosts) {
        confirmation.mHostListRead = true;
        waiting = *hosts;
        std::erase_if(waiting, [&](const Host& aHost) {
          return confirmed.contains(aHost.mName);
        });
      }
      QueryHosts(aClient, waiting, "POST", "/refresh", kHostTimeoutMs);
    }

    // 2. Find the hosts that have the revision.
    auto states = QueryHosts(aClient, waiting, "GET", "/state", kHostTimeoutMs);
    std::vector<Host> unconfirmed;
    confirmation.mUnconfirmed.clear();
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      auto revision = ParseRevision(states[i]);
      if (revision && *revision >= aRevision) {
        confirmed.insert(waiting[i].mName);
        continue;
      }
      confirmation.mUnconfirmed.push_back(
        { waiting[i].mName,
          revision ? "has revision " + std::to_string(*revision)
                   : DescribeHttpFailure(states[i]) });
      unconfirmed.push_back(waiting[i]);
    }
    waiting = std::move(unconfirmed);

    // 3. Repeat until all hosts have it or the time is over.
    confirmation.mConfirmedCount = confirmed.size();
    confirmation.mElapsedMs = MonotonicMs() - start;
    if ((confirmation.mHostListRead && waiting.empty()) ||
        MonotonicMs() + kPollIntervalMs > end) {
      return confirmation;
    }
    aClient.Pause(kPollIntervalMs);
  }
}

} // namespace savory
