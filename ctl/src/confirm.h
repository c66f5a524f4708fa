#pragma once

#include "blocking_client.h"

namespace savory {

// A host that has not confirmed a revision, and the reason from its last answer
// or connection error.
struct UnconfirmedHost
{
  std::string mHost;
  std::string mReason;
};

// Which hosts have confirmed a revision. `mHostListRead` is false when no
// attempt to read the host list succeeded.
struct HostConfirmation
{
  bool mHostListRead = false;
  std::size_t mConfirmedCount = 0;
  std::vector<UnconfirmedHost> mUnconfirmed;
  TimeMs mElapsedMs = 0;
};

// Polls the admin ports of all listed hosts until each has at least the given
// revision or has left the list, for at most mWaitMs of the settings. A host in
// state leaving counts until it is off the list, because it may still finish or
// admit work.
HostConfirmation
WaitForRevision(BlockingClient& aClient, std::int64_t aRevision);

// Calls one path of the admin ports of hosts and returns the results in the
// order of the hosts.
std::vector<HttpResult>
QueryHosts(BlockingClient& aClient,
           const std::vector<Host>& aHosts,
           const std::string& aMethod,
           const std::string& aPath,
           TimeMs aTimeoutMs);

// Describes briefly why an HTTP result is not the expected answer.
std::string
DescribeHttpFailure(const HttpResult& aResult);

} // namespace savory
