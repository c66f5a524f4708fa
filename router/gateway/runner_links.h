#pragma once

#include "savory/net/http_link.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savory {

// Pool of keep-alive connections to runners.
class RunnerLinks
{
public:
  explicit RunnerLinks(EventLoop& aLoop);

  // The most connections, idle ones included; 0 means no limit.
  void SetMaxLinks(std::size_t aMaxLinks) { mMaxLinks = aMaxLinks; }
  // Whether a connection can be had, if need be in place of an idle one.
  bool HasRoom();
  // Returns a pooled connection that was idle for at most aMaxIdleMs, or else a
  // new one.
  std::shared_ptr<ClientLink> Acquire(const Endpoint& aServer,
                                      TimeMs aMaxIdleMs);
  // Returns a new connection. A request that was sent to the server before must
  // not reuse one: a second copy of the earlier answer bears the same id.
  std::shared_ptr<ClientLink> Connect(const Endpoint& aServer);
  // Returns a connection to the pool after its answer is complete.
  void Release(std::shared_ptr<ClientLink> aLink);
  // Closes the idle connections to an address. They may be stale after the
  // runner crashed or this host was suspended.
  void CloseIdle(const std::string& aAddress);

private:
  void Sweep();
  void ForgetClosed();
  void CloseOldestIdle();

  EventLoop& mLoop;
  // Keyed by address.
  std::map<std::string, std::vector<std::shared_ptr<ClientLink>>> mIdle;
  std::size_t mMaxLinks = 0;
  // All connections, with some that were closed since they were last counted.
  std::vector<std::weak_ptr<ClientLink>> mLinks;
  Timer mSweepTimer;
};

// Timeout for connecting to a runner. The latency between zones is a few
// milliseconds; a full accept queue drops the SYN, which is resent only after a
// second, by when another runner has answered.
inline constexpr TimeMs kRunnerConnectTimeoutMs = 300;

// If a runner's host does not acknowledge sent bytes for this long, it counts
// as unreachable: the host or the path to it is down.
inline constexpr TimeMs kRunnerUserTimeoutMs = 900;

} // namespace savory
