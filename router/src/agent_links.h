#pragma once

#include "node.h"
#include "savory/core/wire.h"
#include "savory/net/inner.h"
#include "savory/platform/host_list.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savory {

// An entry's connection to one agent, with the agent's last report.
struct AgentLink
{
  Host mHost;
  std::shared_ptr<InnerConnection> mConnection;
  std::shared_ptr<InnerStream> mReportStream;
  AgentReport mReport;
  TimeMs mLastReportMs = 0;
  // Requests that this entry has in flight at the agent.
  int mLocalRequests = 0;
  std::int64_t mPushedRevision = 0;
  TimeMs mReconnectMs = 0;
};

// Keeps an entry connected to its agents and receives their reports.
class AgentLinks
{
public:
  explicit AgentLinks(Node& aNode);

  // Connects to the agents of a host list that are new, and closes the links to
  // agents that are no longer on it.
  void SetHosts(const std::vector<Host>& aHosts);

  // Closes all connections, which ends the requests on them.
  void Close();

  // Returns the link to the agent with an inner address, or null.
  AgentLink* Find(const std::string& aAddress);
  const std::map<std::string, AgentLink>& All() const { return mLinks; }

  // Called for each report, after it was stored in the link.
  sigc::signal<void(const AgentReport&)> mOnReport;
  // Called with the agent's inner address when its connection is lost or it is
  // no longer on the host list.
  sigc::signal<void(const std::string&)> mOnAgentLost;

private:
  void Connect(const std::string& aAddress, AgentLink& aLink);
  void Subscribe(const std::string& aAddress);
  void Maintain();

  Node& mNode;
  std::map<std::string, AgentLink> mLinks;
  Timer mMaintainTimer;
};

} // namespace savory
