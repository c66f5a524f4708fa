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

// An entry's connection to one agent.
struct AgentLink
{
  Host mHost;
  std::shared_ptr<InnerConnection> mConnection;
  std::shared_ptr<InnerStream> mReportStream;
  AgentReport mReport;
  TimeMs mLastReportMs = 0;
  int mLocalRequests = 0;
  std::int64_t mPushedRevision = 0;
  TimeMs mReconnectMs = 0;
};

// Keeps an entry connected to its agents and receives their reports.
class AgentLinks
{
public:
  explicit AgentLinks(Node& aNode);

  // Takes the agents of a host list: connects to new ones and drops those
  // that are gone.
  void SetHosts(const std::vector<Host>& aHosts);

  // Closes all connections, which ends the requests on them.
  void Close();

  // The link to an agent's inner address, or null.
  AgentLink* Find(const std::string& aAddress);
  const std::map<std::string, AgentLink>& All() const { return mLinks; }

  // Called for each report, after it was stored in the link.
  sigc::signal<void(const AgentReport&)> mOnReport;
  // Called when the connection to an agent is lost or the agent is gone.
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
