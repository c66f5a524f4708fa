#include "fleet.h"

#include "savory/core/balancer.h"
#include "savory/net/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr TimeMs kTickIntervalMs = 50;
constexpr TimeMs kHostListPollIntervalMs = 1000;
constexpr TimeMs kPublishIntervalMs = 1000;
constexpr TimeMs kFleetPushIntervalMs = 200;

// Agents that one entry connects to at most, over all pools.
constexpr std::size_t kMaxAgents = 256;

// Sends one message on a new stream and calls aAnswer with the first answer, or
// with null when the stream closes without one.
void
SendQuery(InnerConnection& aConnection,
          const std::string& aPath,
          const nlohmann::json& aDocument,
          const sigc::slot<void(const nlohmann::json*)>& aAnswer)
{
  auto stream = aConnection.Open(aPath);
  if (!stream) {
    aAnswer(nullptr);
    return;
  }
  auto answered = std::make_shared<bool>(false);
  stream->mOnFrame = [aAnswer, answered](const Frame& aFrame) {
    auto document = DecodeDocument(aFrame.mPayload);
    if (!*answered && document) {
      *answered = true;
      aAnswer(&*document);
    }
  };
  stream->mOnClosed = [aAnswer, answered](bool) {
    if (!*answered) {
      aAnswer(nullptr);
    }
  };
  stream->Send(FrameType::Head, EncodeDocument(aDocument));
  stream->Finish();
}

EntryRow
MakeLocalEntryRow(const Node& aNode)
{
  EntryRow row;
  row.mHost = aNode.mSettings.mHost;
  row.mIncarnation = aNode.mIncarnation;
  row.mAddress = ToString(aNode.mSettings.mInner);
  row.mZone = aNode.mSettings.mZone;
  row.mRegion = aNode.mSettings.mRegion;
  return row;
}

} // namespace

Fleet::Fleet(Node& aNode, AgentLinks& aLinks, StoreClient& aStore)
  : mNode(aNode)
  , mLinks(aLinks)
  , mStore(aStore)
{
  mSync.mRole = Role::Entry;
}

void
Fleet::Start()
{
  mMembers = StartMembership(MakeLocalEntryRow(mNode), mNode.mLoop.NowMs());
  mLinks.mOnReport.connect([this](const AgentReport& aReport) {
    TimeMs now = mNode.mLoop.NowMs();
    OnConfirmed(mSync, aReport.mSender, now);
    MergeReport(mMembers, aReport, now);
    if (aReport.mSender.mRevision < mSync.mConfig.mRevision) {
      Perform(PushToAgents(mSync, { aReport.mSender.mHost }, now));
    }
  });
  mTickTimer = Timer::Every(mNode.mLoop, kTickIntervalMs, [this] { Tick(); });
  mHostsTimer =
    Timer::Every(mNode.mLoop, kHostListPollIntervalMs, [this] { PollHosts(); });
  PollHosts();
  Tick();
}

void
Fleet::Tick()
{
  TimeMs now = mNode.mLoop.NowMs();
  // 1. Gossip.
  auto request = TickMembership(mMembers,
                                MakeGossipStatus(mSync, AssignedAgents(), now),
                                now,
                                mNode.mRandom);
  if (request) {
    SendGossip(*request);
  }
  // 2. Configuration.
  Perform(
    TickSync(mSync, ViewFleet(mMembers, now), ListedEntries(mMembers), now));
  // 3. Push to the agents assigned to this entry that have not confirmed the
  // configuration. An agent whose last push is too recent is skipped until a
  // later interval.
  if (now >= mNextPushMs) {
    mNextPushMs = now + kFleetPushIntervalMs;
    Perform(PushToAgents(mSync, AssignedAgents(), now));
  }
  // 4. Log changes, and let other modules publish their sections.
  LogChanges();
  if (now >= mNextPublishDueMs) {
    mNextPublishDueMs = now + kPublishIntervalMs;
    mOnPublish.emit();
  }
}

// Logs when the store becomes unreachable or reachable, and when the
// configuration turns stale.
void
Fleet::LogChanges()
{
  bool reaches = ReachesStore(mSync, mNode.mLoop.NowMs());
  if (mNode.mConfig && reaches != mLoggedReachable) {
    mLoggedReachable = reaches;
    LogEvent(reaches ? Event::StoreUp : Event::StoreDown,
             { { "store", ToString(mNode.mSettings.mStore) } });
  }
  bool stale = CurrentFreshness() == Freshness::Stale;
  if (stale && !mLoggedStale) {
    LogEvent(Event::ConfigStale,
             { { "revision", std::to_string(mSync.mConfig.mRevision) } });
  }
  mLoggedStale = stale;
}

void
Fleet::PollHosts()
{
  FetchHostList(
    mNode.mHttp,
    mNode.mSettings.mHosts,
    [this](const tl::expected<std::vector<Host>, HostListError>& aHosts) {
      if (!aHosts) {
        LogEvent(Event::HostListFailed,
                 { { "reason", aHosts.error().mReason } });
        return;
      }
      ApplyHostList(*aHosts);
    });
}

void
Fleet::ApplyHostList(const std::vector<Host>& aHosts)
{
  // 1. Merge the list into the membership.
  std::vector<HostRow> rows;
  std::vector<PoolMember> agents;
  for (const auto& host : aHosts) {
    const Zone* zone =
      mNode.mConfig ? FindZone(*mNode.mConfig, host.mZone) : nullptr;
    std::string region = zone ? zone->mRegion : mNode.mSettings.mRegion;
    rows.push_back(
      { .mHost = host.mName,
        .mRole = host.mRole == HostRole::Entry ? Role::Entry : Role::Agent,
        .mAddress = ToString(host.mInner),
        .mZone = host.mZone,
        .mRegion = region,
        .mLeaving = host.mState == HostState::Leaving });
    if (host.mRole == HostRole::Agent) {
      agents.push_back({ ToString(host.mInner), region });
    }
  }
  MergeHostList(mMembers, rows, mNode.mLoop.NowMs());

  // 2. Connect to the subset of agents that this entry uses.
  auto subset = ChooseSubset(
    mNode.mSettings.mHost, mNode.mSettings.mRegion, agents, kMaxAgents);
  std::vector<Host> chosenHosts;
  for (const auto& host : aHosts) {
    bool chosen =
      std::find(subset.begin(), subset.end(), ToString(host.mInner)) !=
      subset.end();
    if (chosen && host.mRole == HostRole::Agent) {
      chosenHosts.push_back(host);
    }
  }
  mLinks.SetHosts(chosenHosts);
}

// Returns the agents whose confirmed revision this entry reports. Each agent is
// assigned to one entry, by rendezvous hashing over the live entries.
std::vector<std::string>
Fleet::AssignedAgents() const
{
  std::vector<std::string> assigned;
  auto entries = LiveEntries(mMembers, "", mNode.mLoop.NowMs());
  for (const auto& [address, link] : mLinks.All()) {
    if (link.mConnection && link.mReport.mSender.mIncarnation != 0 &&
        RendezvousOwner(entries, link.mHost.mName) == mNode.mSettings.mHost) {
      assigned.push_back(link.mHost.mName);
    }
  }
  return assigned;
}

InnerConnection*
Fleet::PeerConnection(const std::string& aAddress)
{
  auto& connection = mPeers[aAddress];
  if (!connection || !connection->IsOpen()) {
    auto endpoint = ParseEndpoint(aAddress);
    if (!endpoint) {
      return nullptr;
    }
    connection = InnerConnection::Connect(mNode.mLoop, *endpoint);
  }
  return connection.get();
}

void
Fleet::SendGossip(const GossipRequest& aRequest)
{
  InnerConnection* connection = PeerConnection(aRequest.mAddress);
  if (!connection) {
    return;
  }
  TimeMs sent = mNode.mLoop.NowMs();
  SendQuery(*connection,
            "/gossip",
            aRequest.mDocument,
            [this, sent](const nlohmann::json* aAnswer) {
              if (!aAnswer) {
                return;
              }
              TimeMs now = mNode.mLoop.NowMs();
              auto sender = MergeGossipAnswer(mMembers, *aAnswer, sent, now);
              if (!sender) {
                return;
              }
              Sender peer{ sender->mHost,
                           sender->mIncarnation,
                           sender->mStatus.mRevision };
              Perform(OnPeerRevision(mSync, peer, false, now));
              if (sender->mStatus.mHeadAgeMs) {
                MergeVerifiedHead(mSync,
                                  sender->mStatus.mRevision,
                                  sent - *sender->mStatus.mHeadAgeMs);
              }
            });
}

bool
Fleet::Serve(const std::shared_ptr<InnerStream>& aStream)
{
  if (aStream->Path() != "/gossip" && aStream->Path() != "/config") {
    return false;
  }
  bool gossip = aStream->Path() == "/gossip";
  aStream->mOnFrame = [this, aStream, gossip](const Frame& aFrame) {
    auto document = DecodeDocument(aFrame.mPayload);
    if (!document) {
      aStream->Cancel();
      return;
    }
    TimeMs now = mNode.mLoop.NowMs();
    if (!gossip) {
      aStream->Send(FrameType::Head,
                    EncodeDocument(AnswerPull(mSync, *document)));
      aStream->Finish();
      return;
    }
    GossipSender sender;
    auto answer = AnswerGossip(mMembers,
                               *document,
                               MakeGossipStatus(mSync, AssignedAgents(), now),
                               now,
                               sender);
    if (!answer) {
      aStream->Cancel();
      return;
    }
    aStream->Send(FrameType::Head, EncodeDocument(*answer));
    aStream->Finish();
    Sender peer{ sender.mHost, sender.mIncarnation, sender.mStatus.mRevision };
    Perform(OnPeerRevision(mSync, peer, false, now));
  };
  return true;
}

void
Fleet::Perform(const SyncActions& aActions)
{
  for (const auto& action : aActions) {
    switch (action.mKind) {
      case SyncAction::Kind::WatchHead:
        WatchHead(action);
        break;
      case SyncAction::Kind::ReadSections:
        ReadSections(action);
        break;
      case SyncAction::Kind::Pull:
        Pull(action);
        break;
      case SyncAction::Kind::Push:
        Push(action);
        break;
      case SyncAction::Kind::Applied: {
        ApplyConfiguration(mNode, mSync.mConfig);
        mNextPushMs = 0;
        break;
      }
    }
  }
}

// Reads the head. When it is not newer and the action may wait, waits until it
// changes.
void
Fleet::WatchHead(const SyncAction& aAction)
{
  mStore.Read(
    std::string(kHeadKey),
    [this, action = aAction](
      const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
      TimeMs now = mNode.mLoop.NowMs();
      if (!aEntry) {
        OnStoreFailed(mSync, action.mCallId);
        return;
      }
      if (!*aEntry) {
        Perform(OnHead(mSync, action.mCallId, std::nullopt, now));
        return;
      }
      auto head = ParseHead((*aEntry)->mValue);
      bool wait =
        action.mWaitMs > 0 && head && head->mRevision <= action.mRevision;
      if (wait) {
        WaitForChange(action, **aEntry, (*aEntry)->mModRevision);
      } else {
        Perform(OnHead(mSync, action.mCallId, (*aEntry)->mValue, now));
      }
    });
}

void
Fleet::WaitForChange(const SyncAction& aAction,
                     const StoreEntry& aHead,
                     std::int64_t aRevision)
{
  auto finish = [this, call = aAction.mCallId](const std::string& aText) {
    if (mWatch) {
      std::exchange(mWatch, nullptr)->Cancel();
    }
    mWatchTimeout.Cancel();
    Perform(OnHead(mSync, call, aText, mNode.mLoop.NowMs()));
  };
  mWatchTimeout = Timer::After(mNode.mLoop,
                               aAction.mWaitMs,
                               [finish, text = aHead.mValue] { finish(text); });
  mWatch = mStore.Watch(
    std::string(kHeadKey),
    aRevision + 1,
    [finish](const std::vector<StoreEntry>& aEntries) {
      if (!aEntries.empty()) {
        finish(aEntries.back().mValue);
      }
    },
    [this, call = aAction.mCallId](const StoreError&) {
      mWatch.reset();
      mWatchTimeout.Cancel();
      OnStoreFailed(mSync, call);
    });
}

void
Fleet::ReadSections(const SyncAction& aAction)
{
  struct Reading
  {
    std::vector<std::optional<std::string>> mValues;
    std::size_t mPendingReads = 0;
    bool mFailed = false;
  };
  auto reading = std::make_shared<Reading>();
  reading->mValues.resize(aAction.mKeys.size());
  reading->mPendingReads = aAction.mKeys.size();
  for (std::size_t i = 0; i < aAction.mKeys.size(); ++i) {
    mStore.Read(
      aAction.mKeys[i],
      [this, reading, i, call = aAction.mCallId](
        const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
        if (!aEntry) {
          reading->mFailed = true;
        } else if (*aEntry) {
          reading->mValues[i] = (*aEntry)->mValue;
        }
        if (--reading->mPendingReads > 0) {
          return;
        }
        if (reading->mFailed) {
          OnStoreFailed(mSync, call);
        } else {
          Perform(
            OnSections(mSync, call, reading->mValues, mNode.mLoop.NowMs()));
        }
      });
  }
}

// Requests the configuration of another entry.
void
Fleet::Pull(const SyncAction& aAction)
{
  auto member = mMembers.mMembers.find(aAction.mHost);
  InnerConnection* connection =
    member == mMembers.mMembers.end()
      ? nullptr
      : PeerConnection(member->second.mRow.mAddress);
  if (!connection) {
    OnPullFailed(mSync, aAction.mHost);
    return;
  }
  SendQuery(*connection,
            "/config",
            aAction.mDocument,
            [this, host = aAction.mHost](const nlohmann::json* aAnswer) {
              if (!aAnswer) {
                OnPullFailed(mSync, host);
                return;
              }
              Perform(OnPullAnswer(mSync, host, *aAnswer, mNode.mLoop.NowMs()));
            });
}

// Pushes the configuration to an agent. The agent answers with a pull when the
// difference does not apply to the revision that it has.
void
Fleet::Push(const SyncAction& aAction)
{
  for (const auto& [address, link] : mLinks.All()) {
    if (link.mHost.mName != aAction.mHost || !link.mConnection) {
      continue;
    }
    auto stream = link.mConnection->Open("/config");
    if (!stream) {
      return;
    }
    stream->mOnFrame = [this, stream](const Frame& aFrame) {
      auto document = DecodeDocument(aFrame.mPayload);
      if (document) {
        stream->Send(FrameType::Head,
                     EncodeDocument(AnswerPull(mSync, *document)));
      }
      stream->Finish();
    };
    stream->mOnClosed = [](bool) {};
    stream->Send(FrameType::Head, EncodeDocument(aAction.mDocument));
    return;
  }
}

Freshness
Fleet::CurrentFreshness() const
{
  TimeMs now = mNode.mLoop.NowMs();
  return EvaluateFreshness(mSync, ViewFleet(mMembers, now), now);
}

void
Fleet::ProbeHead()
{
  // An active watch reports the change by itself; without one, the head is read
  // as soon as the synchronization allows.
  if (!mWatch) {
    mSync.mNextProbeMs = 0;
    Tick();
  }
}

ConfigFreshness
Fleet::MakeConfigFreshness(const AgentLink& aLink) const
{
  TimeMs now = mNode.mLoop.NowMs();
  WorkFreshness workFreshness = MakeWorkFreshness(
    mSync, ViewFleet(mMembers, now), aLink.mReport.mClockMs, now);
  return { workFreshness.mReportClockMs, workFreshness.mHeadAgeMs };
}

void
Fleet::OnSenderRevision(const Sender& aSender)
{
  if (aSender.mRevision > mSync.mConfig.mRevision) {
    // Agents do not serve pulls; the newer configuration is in the store and at
    // the entry that pushed it to the agent.
    ProbeHead();
  }
}

int
Fleet::EntryCount() const
{
  return static_cast<int>(std::max<std::size_t>(
    1, LiveEntries(mMembers, "", mNode.mLoop.NowMs()).size()));
}

bool
Fleet::IsRendezvousOwner(std::string_view aKey) const
{
  return RendezvousOwner(LiveEntries(mMembers, "", mNode.mLoop.NowMs()),
                         aKey) == mNode.mSettings.mHost;
}

void
Fleet::PushIfOutdated(AgentLink& aLink)
{
  std::int64_t revision = mSync.mConfig.mRevision;
  if (aLink.mReport.mSender.mRevision >= revision ||
      aLink.mPushedRevision >= revision) {
    return;
  }
  aLink.mPushedRevision = revision;
  mSync.mLastPushMs.erase(aLink.mHost.mName);
  Perform(PushToAgents(mSync, { aLink.mHost.mName }, mNode.mLoop.NowMs()));
}

void
Fleet::Leave()
{
  SetLeaving(mMembers, mNode.mLoop.NowMs());
}

void
Fleet::Close()
{
  mTickTimer.Cancel();
  mHostsTimer.Cancel();
  mWatchTimeout.Cancel();
  for (auto& [address, connection] : mPeers) {
    if (connection) {
      connection->Close();
    }
  }
}

nlohmann::json
Fleet::State() const
{
  TimeMs now = mNode.mLoop.NowMs();
  return { { "freshness", ToName(kFreshnessNames, CurrentFreshness()) },
           { "reaches_store", ReachesStore(mSync, now) },
           { "members", ToJson(mMembers, now) } };
}

} // namespace savory
