#include "runner_links.h"

#include <algorithm>

namespace savory {

namespace {

// Idle connections in the pool per runner. A runner limits its connections from
// all hosts together.
constexpr std::size_t kMaxIdlePerRunner = 24;

// Idle connections are closed before the runner closes them: after this share
// of its stated keep-alive time, or after the default if it states none.
constexpr double kKeepAliveRatio = 0.6;
constexpr TimeMs kDefaultMaxIdleMs = 4000;

constexpr TimeMs kSweepIntervalMs = 1000;

TimeMs
MaxIdleMs(const ClientLink& aLink)
{
  return aLink.KeepAliveMs() > 0
           ? static_cast<TimeMs>(kKeepAliveRatio *
                                 static_cast<double>(aLink.KeepAliveMs()))
           : kDefaultMaxIdleMs;
}

} // namespace

RunnerLinks::RunnerLinks(EventLoop& aLoop)
  : mLoop(aLoop)
  , mSweepTimer(Timer::Every(aLoop, kSweepIntervalMs, [this] { Sweep(); }))
{
}

std::shared_ptr<ClientLink>
RunnerLinks::Acquire(const Endpoint& aServer, TimeMs aMaxIdleMs)
{
  auto found = mIdle.find(ToString(aServer));
  if (found != mIdle.end()) {
    auto& links = found->second;
    TimeMs now = MonotonicMs();
    while (!links.empty()) {
      std::shared_ptr<ClientLink> link = std::move(links.back());
      links.pop_back();
      TimeMs idle = now - link->IdleSinceMs();
      if (link->IsOpen() && idle <= std::min(aMaxIdleMs, MaxIdleMs(*link))) {
        link->ClearCallbacks();
        return link;
      }
      if (idle <= MaxIdleMs(*link) && link->IsOpen()) {
        // The newest connection was idle for too long for this request, so the
        // others were, too. They stay for requests with a higher limit.
        links.push_back(std::move(link));
        break;
      }
    }
  }
  return Connect(aServer);
}

std::shared_ptr<ClientLink>
RunnerLinks::Connect(const Endpoint& aServer)
{
  if (mMaxLinks > 0 && mLinks.size() >= mMaxLinks) {
    ForgetClosed();
    if (mLinks.size() >= mMaxLinks) {
      CloseOldestIdle();
    }
  }
  auto link = ClientLink::Connect(
    mLoop, aServer, { kRunnerConnectTimeoutMs, kRunnerUserTimeoutMs });
  if (mMaxLinks > 0) {
    mLinks.push_back(link);
  }
  return link;
}

bool
RunnerLinks::HasRoom()
{
  if (mMaxLinks == 0 || mLinks.size() < mMaxLinks) {
    return true;
  }
  ForgetClosed();
  return mLinks.size() < mMaxLinks ||
         std::any_of(mIdle.begin(), mIdle.end(), [](const auto& aRow) {
           return !aRow.second.empty();
         });
}

void
RunnerLinks::ForgetClosed()
{
  std::erase_if(mLinks, [](const auto& aLink) {
    auto link = aLink.lock();
    return !link || !link->IsOpen();
  });
}

void
RunnerLinks::CloseOldestIdle()
{
  std::shared_ptr<ClientLink> oldest;
  for (const auto& [address, links] : mIdle) {
    if (!links.empty() &&
        (!oldest || links.front()->IdleSinceMs() < oldest->IdleSinceMs())) {
      oldest = links.front();
    }
  }
  if (oldest) {
    std::erase(mIdle[ToString(oldest->Server())], oldest);
    oldest->Close();
    ForgetClosed();
  }
}

void
RunnerLinks::Release(std::shared_ptr<ClientLink> aLink)
{
  auto& links = mIdle[ToString(aLink->Server())];
  if (links.size() >= kMaxIdlePerRunner) {
    aLink->Close();
    return;
  }
  links.push_back(std::move(aLink));
}

void
RunnerLinks::CloseIdle(const std::string& aAddress)
{
  mIdle.erase(aAddress);
}

void
RunnerLinks::Sweep()
{
  TimeMs now = MonotonicMs();
  for (auto next = mIdle.begin(); next != mIdle.end();) {
    std::erase_if(next->second, [now](const auto& aLink) {
      return !aLink->IsOpen() || now - aLink->IdleSinceMs() > MaxIdleMs(*aLink);
    });
    next = next->second.empty() ? mIdle.erase(next) : std::next(next);
  }
}

} // namespace savory
