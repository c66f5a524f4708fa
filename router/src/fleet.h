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

// An entry's part in the fleet: gossips with the other entries, reads the
// configuration from the store and from peers, and pushes it to agents.
class Fleet
{
public:
  Fleet(Node& aNode, AgentLinks& aLinks, StoreClient& aStore);

  void Start();

  // Serves a /gossip or /config stream of another process; returns false for
  // other paths.
  bool Serve(const std::shared_ptr<InnerStream>& aStream);

  // Whether new work may be accepted on the configuration in force.
  Freshness CurrentFreshness() const;

  // Reads the head in the store as soon as possible, as after an operator's
  // hint.
  void ProbeHead();

  // Returns the freshness of the configuration, to be sent with work to an
  // agent.
  ConfigFreshness MakeConfigFreshness(const AgentLink& aLink) const;

  // A message of another process carried a revision.
  void OnSenderRevision(const Sender& aSender);

  // Number of live entries, this one included.
  int EntryCount() const;
  // Whether this entry owns a key by rendezvous hashing over the live entries.
  bool IsRendezvousOwner(std::string_view aKey) const;

  // Pushes the configuration, ahead of the next push interval, to an agent that
  // is about to get a request and has not confirmed the configuration.
  void PushIfOutdated(AgentLink& aLink);

  // Announces to the other entries that this one is leaving.
  void Leave();

  // Stops gossip and closes all connections to peers.
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
  // The states logged last, so that only changes are logged.
  bool mLoggedReachable = true;
  bool mLoggedStale = false;
};

} // namespace savory
