#include "runner_links.h"

#include <algorithm>

namespace savory {

namespace {

// Idle connections kept for each runner; runners bound their connections over
// all hosts.
constexpr std::size_t kMaxIdle = 24;

// Connections are closed before the runner does: at this part of the time that
// it states, or after this time when it states none.
constexpr double kKeepAlivePart = 0.6;
constexpr TimeMs kDefaultKeepMs = 4000;

constexpr TimeMs kSweepPeriodMs = 1000;

TimeMs
KeepMs(const ClientLink& aLink)
{
  return aLink.KeepAliveMs() > 0
           ? static_cast<TimeMs>(kKeepAlivePart *
                                 static_cast<double>(aLink.KeepAliveMs()))
           : kDefaultKeepMs;
}

} // namespace

RunnerLinks::RunnerLinks(EventLoop& aLoop)
  : mLoop(aLoop)
  , mSweep(Timer::Every(aLoop, kSweepPeriodMs, [this] { Sweep(); }))
{
}

std::shared_ptr<ClientLink>
RunnerLinks::Take(const Endpoint& aRunner, TimeMs aMaxIdleMs)
{
  auto found = mIdle.find(ToString(aRunner));
  if (found != mIdle.end()) {
    auto& links = found->second;
    TimeMs now = MonotonicMs();
    while (!links.empty()) {
      std::shared_ptr<ClientLink> link = std::move(links.back());
      links.pop_back();
      TimeMs idle = now - link->IdleSinceMs();
      if (link->IsOpen() && idle <= std::min(aMaxIdleMs, KeepMs(*link))) {
        link->ClearSlots();
        return link;
      }
      if (idle <= KeepMs(*link) && link->IsOpen()) {
        // The newest link is too old for this request, so the others are, too;
        // they stay for requests that are less strict.
        links.push_back(std::move(link));
        break;
      }
    }
  }
  return ClientLink::Connect(
    mLoop, aRunner, { kRunnerConnectMs, kRunnerUserTimeoutMs });
}

void
RunnerLinks::Keep(std::shared_ptr<ClientLink> aLink)
{
  auto& links = mIdle[ToString(aLink->Server())];
  if (links.size() >= kMaxIdle) {
    aLink->Close();
    return;
  }
  links.push_back(std::move(aLink));
}

void
RunnerLinks::Drop(const std::string& aRunner)
{
  mIdle.erase(aRunner);
}

void
RunnerLinks::Sweep()
{
  TimeMs now = MonotonicMs();
  for (auto next = mIdle.begin(); next != mIdle.end();) {
    std::erase_if(next->second, [now](const auto& aLink) {
      return !aLink->IsOpen() || now - aLink->IdleSinceMs() > KeepMs(*aLink);
    });
    next = next->second.empty() ? mIdle.erase(next) : std::next(next);
  }
}

} // namespace savory
