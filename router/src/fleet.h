#pragma once

#include "agent_links.h"
#include "node.h"
#include "savory/core/config_sync.h"
#include "savory/core/membership.h"
#include "savory/net/inner.h"
#include "savory/platform/host_list.h"
#include "savory/platform/store.h"

#include <map>
#include <memory>
#include <string>

namespace savory {

// An entry's part in the fleet: gossip with the other entries, the
// configuration from store and peers, and the agents that it brings it to.
class Fleet
{
public:
  Fleet(Node& aNode, AgentLinks& aLinks, StoreClient& aStore);

  void Start();

  // Serves /gossip and /config of another process; false for other paths.
  bool Serve(const std::shared_ptr<InnerStream>& aStream);

  // Whether new work may be taken on the configuration in force.
  Freshness CurrentFreshness() const;

  // Looks at the head in the store at once, as after an operator's hint.
  void ProbeHead();

  // What this entry tells an agent with a piece of work.
  ConfigFreshness MakeConfigFreshness(const AgentLink& aLink) const;

  // Takes the revision that any message of another process carried.
  void OnSenderRevision(const Sender& aSender);

  // Live entries, this one included.
  int EntryCount() const;
  // Whether this entry is the one of all live ones that looks after a key.
  bool IsRendezvousOwner(std::string_view aKey) const;

  // Brings the configuration to an agent that is about to get a request and
  // has not confirmed it, without waiting for the next push.
  void PushIfOutdated(AgentLink& aLink);

  // Tells the other entries that this one is leaving.
  void Leave();

  // Ends gossip and closes all connections to peers.
  void Close();

  nlohmann::json State() const;

  Membership mMembers;
  // Called about once a second, for modules that publish sections.
  sigc::signal<void()> mOnPublish;

private:
  void Tick();
  void LogChanges();
  void PollHosts();
  void ApplyHostList(const std::vector<Host>& aHosts);
  void SendGossip(const GossipRequest& aRequest);
  void Perform(const SyncActions& aActions);
  void WatchHead(const SyncAction& aAction);
  void WaitForChange(const SyncAction& aAction,
                     const StoreEntry& aHead,
                     std::int64_t aRevision);
  void ReadSections(const SyncAction& aAction);
  void Pull(const SyncAction& aAction);
  void Push(const SyncAction& aAction);
  InnerConnection* PeerConnection(const std::string& aAddress);
  std::vector<std::string> AssignedAgents() const;

  Node& mNode;
  AgentLinks& mLinks;
  StoreClient& mStore;
  ConfigSync mSync;
  std::map<std::string, std::shared_ptr<InnerConnection>> mPeers;
  std::shared_ptr<HttpExchange> mWatch;
  Timer mWatchTimeout;
  Timer mTickTimer;
  Timer mHostsTimer;
  TimeMs mNextPublishDueMs = 0;
  TimeMs mNextPushMs = 0;
  // What the log last said, so that it tells changes only.
  bool mLoggedReachable = true;
  bool mLoggedStale = false;
};

} // namespace savory
