#include "agent_links.h"

#include "savory/net/log.h"

#include <nlohmann/json.hpp>
#include <set>

namespace savory {

namespace {

constexpr TimeMs kReconnectMs = 500;
constexpr TimeMs kMaintainMs = 250;

// A link without a report for this time is taken as broken, as when the
// network drops packets without a word.
constexpr TimeMs kSilentMs = 3000;

} // namespace

AgentLinks::AgentLinks(Node& aNode)
  : mNode(aNode)
{
  mMaintain = Timer::Every(mNode.mLoop, kMaintainMs, [this] { Maintain(); });
}

void
AgentLinks::SetHosts(const std::vector<Host>& aHosts)
{
  std::set<std::string> wanted;
  for (const auto& host : aHosts) {
    if (host.mRole != HostRole::Agent) {
      continue;
    }
    std::string address = ToString(host.mInner);
    wanted.insert(address);
    mLinks[address].mHost = host;
  }
  for (auto link = mLinks.begin(); link != mLinks.end();) {
    if (wanted.count(link->first) > 0) {
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
    mOnLost.emit(address);
  }
  Maintain();
}

void
AgentLinks::Close()
{
  mMaintain.Cancel();
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
  aLink.mReportedMs = mNode.mLoop.NowMs();
  aLink.mConnection->mOnClosed = [this, aAddress] {
    if (AgentLink* link = Find(aAddress)) {
      bool known = link->mReport.mSender.mIncarnation != 0;
      link->mConnection.reset();
      link->mReports.reset();
      link->mReport = AgentReport();
      link->mRetryAtMs = mNode.mLoop.NowMs() + kReconnectMs;
      if (known) {
        LogEvent(Event::AgentLost, { { "agent", aAddress } });
      }
      mOnLost.emit(aAddress);
    }
  };
  Subscribe(aAddress);
}

// Opens the stream on which the agent sends its reports.
void
AgentLinks::Subscribe(const std::string& aAddress)
{
  AgentLink* link = Find(aAddress);
  link->mReports = link->mConnection->Open("/report");
  if (!link->mReports) {
    return;
  }
  link->mReports->mOnFrame = [this, aAddress](const Frame& aFrame) {
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
    target->mReportedMs = mNode.mLoop.NowMs();
    mOnReport.emit(target->mReport);
  };
  link->mReports->Send(
    FrameType::Head,
    EncodeDocument({ { "from", mNode.mSettings.mHost },
                     { "incarnation", mNode.mIncarnation },
                     { "revision", SenderOf(mNode).mRevision } }));
}

// Connects again where due, and ends links that have gone silent.
void
AgentLinks::Maintain()
{
  TimeMs now = mNode.mLoop.NowMs();
  std::vector<std::shared_ptr<InnerConnection>> silent;
  for (auto& [address, link] : mLinks) {
    if (!link.mConnection) {
      if (now >= link.mRetryAtMs) {
        Connect(address, link);
      }
    } else if (now - link.mReportedMs > kSilentMs) {
      silent.push_back(link.mConnection);
    }
  }
  for (const auto& connection : silent) {
    connection->Close();
  }
}

} // namespace savory
