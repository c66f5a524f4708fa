#pragma once

#include "blocking_client.h"

namespace savory {

// A host that has not confirmed a revision, and what it or its connection
// said last.
struct UnconfirmedHost
{
  std::string mHost;
  std::string mReason;
};

// Who has confirmed a revision. `mHostListRead` is false when the list of hosts
// was never read.
struct HostConfirmation
{
  bool mHostListRead = false;
  std::size_t mConfirmedCount = 0;
  std::vector<UnconfirmedHost> mUnconfirmed;
  TimeMs mElapsedMs = 0;
};

// Asks the admin ports of all hosts of the list until each has at least a
// revision or has left the list, for at most the --wait-ms of the settings. A
// host that the list calls leaving counts until it is gone, because it may
// still finish or admit work.
HostConfirmation
WaitForRevision(BlockingClient& aClient, std::int64_t aRevision);

// Calls one path of the admin ports of hosts; results are in their order.
std::vector<HttpResult>
QueryHosts(BlockingClient& aClient,
           const std::vector<Host>& aHosts,
           const std::string& aMethod,
           const std::string& aPath,
           TimeMs aTimeoutMs);

// Says in a word or two why a result is not the expected answer.
std::string
DescribeHttpFailure(const HttpResult& aResult);

} // namespace savory
