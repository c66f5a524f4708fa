#include "agent_links.h"

#include "savory/net/log.h"

#include <nlohmann/json.hpp>
#include <set>

namespace savory {

namespace {

constexpr TimeMs kReconnectDelayMs = 500;
constexpr TimeMs kMaintainIntervalMs = 250;

// A link without a report for this time counts as lost, as when the network
// drops packets silently.
constexpr TimeMs kReportTimeoutMs = 3000;

} // namespace

AgentLinks::AgentLinks(Node& aNode)
  : mNode(aNode)
{
  mMaintainTimer =
    Timer::Every(mNode.mLoop, kMaintainIntervalMs, [this] { Maintain(); });
}

void
AgentLinks::SetHosts(const std::vector<Host>& aHosts)
{
  std::set<std::string> listed;
  for (const auto& host : aHosts) {
    if (host.mRole != HostRole::Agent) {
      continue;
    }
    std::string address = ToString(host.mInner);
    listed.insert(address);
    mLinks[address].mHost = host;
  }
  for (auto link = mLinks.begin(); link != mLinks.end();) {
    if (listed.count(link->first) > 0) {
      ++link;
      continue;
    }
    auto connection = link->second.mConnection;
    std::string address = link->first;
    link = mLinks.erase(link);
    if (connection) {
      connection->mOnClosed = {};
      connection->Close();
    }
    mOnAgentLost.emit(address);
  }
  Maintain();
}

void
AgentLinks::Close()
{
  mMaintainTimer.Cancel();
  for (auto& [address, link] : mLinks) {
    if (auto connection = std::exchange(link.mConnection, nullptr)) {
      connection->mOnClosed = {};
      connection->Close();
    }
  }
}

AgentLink*
AgentLinks::Find(const std::string& aAddress)
{
  auto found = mLinks.find(aAddress);
  return found == mLinks.end() ? nullptr : &found->second;
}

void
AgentLinks::Connect(const std::string& aAddress, AgentLink& aLink)
{
  aLink.mConnection = InnerConnection::Connect(mNode.mLoop, aLink.mHost.mInner);
  aLink.mPushedRevision = 0;
  aLink.mLastReportMs = mNode.mLoop.NowMs();
  aLink.mConnection->mOnClosed = [this, aAddress] {
    if (AgentLink* link = Find(aAddress)) {
      bool hadReport = link->mReport.mSender.mIncarnation != 0;
      link->mConnection.reset();
      link->mReportStream.reset();
      link->mReport = AgentReport();
      link->mReconnectMs = mNode.mLoop.NowMs() + kReconnectDelayMs;
      if (hadReport) {
        LogEvent(Event::AgentLost, { { "agent", aAddress } });
      }
      mOnAgentLost.emit(aAddress);
    }
  };
  Subscribe(aAddress);
}

// Opens the stream on which the agent sends its reports.
void
AgentLinks::Subscribe(const std::string& aAddress)
{
  AgentLink* link = Find(aAddress);
  link->mReportStream = link->mConnection->Open("/report");
  if (!link->mReportStream) {
    return;
  }
  link->mReportStream->mOnFrame = [this, aAddress](const Frame& aFrame) {
    AgentLink* target = Find(aAddress);
    auto report = DecodeAgentReport(aFrame.mPayload);
    if (!target || !report) {
      return;
    }
    if (target->mReport.mSender.mIncarnation == 0) {
      LogEvent(Event::AgentConnected,
               { { "agent", aAddress }, { "host", report->mSender.mHost } });
    }
    report->mAddress = aAddress;
    target->mReport = *report;
    target->mLastReportMs = mNode.mLoop.NowMs();
    mOnReport.emit(target->mReport);
  };
  link->mReportStream->Send(
    FrameType::Head,
    EncodeDocument({ { "from", mNode.mSettings.mHost },
                     { "incarnation", mNode.mIncarnation },
                     { "revision", MakeSender(mNode).mRevision } }));
}

// Reconnects the links that are due, and closes those whose reports have timed
// out.
void
AgentLinks::Maintain()
{
  TimeMs now = mNode.mLoop.NowMs();
  std::vector<std::shared_ptr<InnerConnection>> timedOut;
  for (auto& [address, link] : mLinks) {
    if (!link.mConnection) {
      if (now >= link.mReconnectMs) {
        Connect(address, link);
      }
    } else if (now - link.mLastReportMs > kReportTimeoutMs) {
      timedOut.push_back(link.mConnection);
    }
  }
  for (const auto& connection : timedOut) {
    connection->Close();
  }
}

} // namespace savory
