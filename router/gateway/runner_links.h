#pragma once

#include "savory/net/http_link.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savory {

// Kept connections to runners.
class RunnerLinks
{
public:
  explicit RunnerLinks(EventLoop& aLoop);

  // A connection that was idle for at most aMaxIdleMs, or a new one.
  std::shared_ptr<ClientLink> Acquire(const Endpoint& aRunner,
                                      TimeMs aMaxIdleMs);
  // Keeps a connection whose answer is complete.
  void Release(std::shared_ptr<ClientLink> aLink);
  // Closes the idle connections to a runner that is gone or has restarted.
  void CloseIdle(const std::string& aRunner);

private:
  void Sweep();

  EventLoop& mLoop;
  std::map<std::string, std::vector<std::shared_ptr<ClientLink>>> mIdle;
  Timer mSweep;
};

// How long connecting to a runner may take. Zones are a few milliseconds
// apart; a full queue of connections drops the first packet for a second, by
// when another runner has answered.
inline constexpr TimeMs kRunnerConnectMs = 300;

// Sent bytes that a runner's host does not acknowledge for this long mean that
// the host or the path to it is down.
inline constexpr TimeMs kRunnerUserTimeoutMs = 900;

} // namespace savory
