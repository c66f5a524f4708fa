#include "fleet_sim.h"

#include <ctime>

namespace savory::sim {

using nlohmann::json;

namespace {

constexpr TimeMs kReportMs = 1000;
constexpr TimeMs kHostListMs = 5000;
constexpr TimeMs kCallTimeoutMs = 1000;

double
CpuSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

// Adds the processor time of a scope to a node. Nodes call each other only
// through scheduled events, so a scope contains no work of another node.
struct CpuScope
{
  explicit CpuScope(Node& aNode)
    : mNode(aNode)
    , mStart(CpuSeconds())
  {
  }
  ~CpuScope() { mNode.mUsage.mCpuSeconds += CpuSeconds() - mStart; }
  CpuScope(const CpuScope&) = delete;
  CpuScope& operator=(const CpuScope&) = delete;

  Node& mNode;
  double mStart;
};

} // namespace

Fleet::Fleet(const SimulationOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  int entries = aOptions.mRegions * aOptions.mEntriesPerRegion;
  for (int i = 0; i < entries; ++i) {
    Node node;
    node.mHost = "entry-" + std::to_string(i);
    node.mRegion = "r" + std::to_string(i % aOptions.mRegions);
    mNodes.push_back(std::move(node));
  }
  for (int i = 0; i < std::min(entries, aOptions.mEntriesWithAgents); ++i) {
    for (int k = 0; k < aOptions.mAgentsPerEntry; ++k) {
      Node node;
      node.mHost = "agent-" + std::to_string(i) + "-" + std::to_string(k);
      node.mRegion = mNodes[i].mRegion;
      node.mRole = Role::Agent;
      node.mHomeEntry = i;
      mNodes[i].mAgents.push_back(static_cast<int>(mNodes.size()));
      mNodes.push_back(std::move(node));
    }
  }
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    mIndex[mNodes[i].mHost] = static_cast<int>(i);
    Start(static_cast<int>(i));
  }
}

void
Fleet::At(TimeMs aTimeMs, std::function<void()> aEvent)
{
  mEvents.push({ std::max(aTimeMs, mNow), mNextNumber++, std::move(aEvent) });
}

void
Fleet::RunUntil(TimeMs aTimeMs)
{
  while (!mEvents.empty() && mEvents.top().mTimeMs <= aTimeMs) {
    Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mTimeMs;
    event.mRun();
  }
  mNow = aTimeMs;
}

std::vector<HostRow>
Fleet::HostList() const
{
  std::vector<HostRow> list;
  for (const auto& node : mNodes) {
    list.push_back({ .mHost = node.mHost,
                     .mRole = node.mRole,
                     .mAddress = node.mHost + ":7000",
                     .mZone = node.mRegion + "-a",
                     .mRegion = node.mRegion,
                     .mLeaving = false });
  }
  return list;
}

void
Fleet::Start(int aNode)
{
  Node& node = mNodes[aNode];
  node.mUp = true;
  node.mPaused = false;
  node.mDeferred.clear();
  node.mReportClocks.clear();
  node.mIncarnation = mNow;
  node.mSync = ConfigSync{};
  node.mSync.mOptions = mOptions.mSync;
  node.mSync.mRole = node.mRole;
  EntryRow self;
  self.mHost = node.mHost;
  self.mIncarnation = node.mIncarnation;
  self.mAddress = node.mHost + ":7000";
  self.mZone = node.mRegion + "-a";
  self.mRegion = node.mRegion;
  node.mTable = StartMembership(std::move(self), mNow);
  if (node.mRole == Role::Entry) {
    MergeHostList(node.mTable, HostList(), mNow);
  }
  TimeMs offset = static_cast<TimeMs>(mRandom() % mOptions.mTickMs);
  At(mNow + offset, [this, aNode, incarnation = node.mIncarnation] {
    Tick(aNode, incarnation);
  });
}

void
Fleet::Restart(int aNode, TimeMs aDownMs)
{
  mNodes[aNode].mUp = false;
  mNodes[aNode].mIncarnation = -1;
  At(mNow + aDownMs, [this, aNode] { Start(aNode); });
}

void
Fleet::Pause(int aNode)
{
  mNodes[aNode].mPaused = true;
}

void
Fleet::Resume(int aNode)
{
  Node& node = mNodes[aNode];
  node.mPaused = false;
  auto deferred = std::move(node.mDeferred);
  node.mDeferred.clear();
  for (auto& run : deferred) {
    run();
  }
}

void
Fleet::SetStore(bool aUp)
{
  mStore.mUp = aUp;
  mStore.mLastDownMs = mNow;
  mStore.mWaiters.clear();
}

bool
Fleet::Chance(double aProbability)
{
  return std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
}

TimeMs
Fleet::MessageDelay()
{
  if (Chance(mOptions.mLateRate)) {
    return 1 + static_cast<TimeMs>(mRandom() % mOptions.mLateMs);
  }
  return 1 + static_cast<TimeMs>(mRandom() % 20);
}

int
Fleet::FindNode(const std::string& aHost) const
{
  return mIndex.at(aHost);
}

Sender
Fleet::MakeSender(int aNode) const
{
  const Node& node = mNodes[aNode];
  return { node.mHost, node.mIncarnation, node.mSync.mConfig.mRevision };
}

bool
Fleet::Connected(int aFrom, int aTo) const
{
  const Node& from = mNodes[aFrom];
  const Node& to = mNodes[aTo];
  bool regions =
    (from.mRegion == mPartitionedRegion) == (to.mRegion == mPartitionedRegion);
  return regions && !from.mDisconnected && !to.mDisconnected;
}

// Runs a function on a node at once, or when its pause ends. Does nothing if
// the incarnation of the node has ended.
void
Fleet::RunOnNode(int aNode,
                 std::int64_t aIncarnation,
                 std::function<void()> aRun)
{
  Node& node = mNodes[aNode];
  if (!node.mUp || node.mIncarnation != aIncarnation) {
    return;
  }
  if (node.mPaused) {
    node.mDeferred.push_back(
      [this, aNode, aIncarnation, run = std::move(aRun)]() mutable {
        RunOnNode(aNode, aIncarnation, std::move(run));
      });
    return;
  }
  CpuScope scope(node);
  aRun();
}

// Sends a message through the real codec. It may be lost, late or duplicated.
void
Fleet::Deliver(int aFrom,
               int aTo,
               const json& aBody,
               bool aGossip,
               std::function<void(const json&)> aReceive)
{
  std::string bytes = EncodeDocument(aBody);
  auto size = static_cast<std::int64_t>(bytes.size());
  Usage& sent = mNodes[aFrom].mUsage;
  sent.mSentBytes += size;
  sent.mGossipBytes += aGossip ? size : 0;
  sent.mMessages += 1;
  if (!Connected(aFrom, aTo) || Chance(mOptions.mLossRate)) {
    return;
  }
  int copies = Chance(mOptions.mDuplicateRate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    At(mNow + MessageDelay(), [this, aTo, bytes, aReceive, size] {
      Node& node = mNodes[aTo];
      RunOnNode(aTo, node.mIncarnation, [&node, bytes, aReceive, size] {
        node.mUsage.mReceivedBytes += size;
        auto body = DecodeDocument(bytes);
        if (body) {
          aReceive(*body);
        }
      });
    });
  }
}

void
Fleet::Tick(int aNode, std::int64_t aIncarnation)
{
  RunOnNode(aNode, aIncarnation, [this, aNode, aIncarnation] {
    Node& node = mNodes[aNode];
    At(mNow + mOptions.mTickMs,
       [this, aNode, aIncarnation] { Tick(aNode, aIncarnation); });
    if (node.mRole == Role::Agent) {
      if (mNow / kReportMs != (mNow - mOptions.mTickMs) / kReportMs) {
        SendReport(aNode);
      }
      return;
    }
    if (mNow / kHostListMs != (mNow - mOptions.mTickMs) / kHostListMs) {
      MergeHostList(node.mTable, HostList(), mNow);
    }
    FleetView view = ViewFleet(node.mTable, mNow);
    Execute(aNode,
            TickSync(node.mSync, view, ListedEntries(node.mTable), mNow));
    std::vector<std::string> agents;
    for (int agent : node.mAgents) {
      agents.push_back(mNodes[agent].mHost);
    }
    Execute(aNode, PushToAgents(node.mSync, agents, mNow));
    SetDemand(node.mTable, node.mDemand);
    GossipStatus status = MakeGossipStatus(node.mSync, agents, mNow);
    auto request = TickMembership(node.mTable, status, mNow, mRandom);
    if (request) {
      Gossip(aNode, *request);
    }
  });
}

void
Fleet::Gossip(int aNode, const GossipRequest& aRequest)
{
  int peer = FindNode(aRequest.mHost);
  TimeMs sent = mNow;
  std::int64_t incarnation = mNodes[aNode].mIncarnation;
  Deliver(
    aNode,
    peer,
    aRequest.mDocument,
    true,
    [this, aNode, peer, sent, incarnation](const json& aBody) {
      Node& node = mNodes[peer];
      std::vector<std::string> agents;
      for (int agent : node.mAgents) {
        agents.push_back(mNodes[agent].mHost);
      }
      GossipSender requester;
      auto answer = AnswerGossip(node.mTable,
                                 aBody,
                                 MakeGossipStatus(node.mSync, agents, mNow),
                                 mNow,
                                 requester);
      if (!answer) {
        return;
      }
      Execute(peer,
              OnPeerRevision(node.mSync,
                             { requester.mHost,
                               requester.mIncarnation,
                               requester.mStatus.mRevision },
                             false,
                             mNow));
      Deliver(
        peer,
        aNode,
        *answer,
        true,
        [this, aNode, sent, incarnation](const json& aAnswer) {
          Node& asker = mNodes[aNode];
          if (asker.mIncarnation != incarnation) {
            return;
          }
          auto reply = MergeGossipAnswer(asker.mTable, aAnswer, sent, mNow);
          if (!reply) {
            return;
          }
          const GossipStatus& status = reply->mStatus;
          if (status.mHeadAgeMs) {
            MergeVerifiedHead(
              asker.mSync, status.mRevision, sent - *status.mHeadAgeMs);
          }
          Execute(aNode,
                  OnPeerRevision(
                    asker.mSync,
                    { reply->mHost, reply->mIncarnation, status.mRevision },
                    false,
                    mNow));
        });
    });
}

void
Fleet::SendReport(int aAgent)
{
  Sender from = MakeSender(aAgent);
  json body = { { "from", from.mHost },
                { "incarnation", from.mIncarnation },
                { "revision", from.mRevision },
                { "clock", mNow } };
  int entries = mOptions.mRegions * mOptions.mEntriesPerRegion;
  for (int i = 0; i < mOptions.mReportTargets; ++i) {
    int entry = (mNodes[aAgent].mHomeEntry + i) % entries;
    Deliver(aAgent, entry, body, false, [this, from, entry](const json& aBody) {
      Node& node = mNodes[entry];
      TimeMs& clock = node.mReportClocks[from.mHost];
      clock = std::max(clock, aBody.at("clock").get<TimeMs>());
      Execute(entry, OnPeerRevision(node.mSync, from, false, mNow));
    });
  }
}

void
Fleet::Execute(int aNode, const SyncActions& aActions)
{
  for (const auto& action : aActions) {
    switch (action.mKind) {
      case SyncAction::Kind::WatchHead:
        WatchHead(aNode, action);
        break;
      case SyncAction::Kind::ReadSections:
        ReadSections(aNode, action);
        break;
      case SyncAction::Kind::Pull:
        Pull(aNode, action.mHost, action.mDocument);
        break;
      case SyncAction::Kind::Push:
        Deliver(aNode,
                FindNode(action.mHost),
                action.mDocument,
                false,
                [this, to = FindNode(action.mHost), from = mNodes[aNode].mHost](
                  const json& aBody) {
                  Execute(to,
                          OnPullAnswer(mNodes[to].mSync, from, aBody, mNow));
                });
        break;
      case SyncAction::Kind::Applied:
        if (mObserver.mApplied) {
          mObserver.mApplied(aNode, action.mRevision);
        }
        if (mNodes[aNode].mRole == Role::Agent) {
          SendReport(aNode);
        }
        break;
    }
  }
}

void
Fleet::Pull(int aNode, const std::string& aHost, const json& aBody)
{
  int peer = FindNode(aHost);
  std::int64_t incarnation = mNodes[aNode].mIncarnation;
  Deliver(aNode,
          peer,
          aBody,
          false,
          [this, aNode, peer, incarnation](const json& aRequest) {
            json answer = AnswerPull(mNodes[peer].mSync, aRequest);
            Deliver(peer,
                    aNode,
                    answer,
                    false,
                    [this, aNode, peer, incarnation](const json& aAnswer) {
                      if (mNodes[aNode].mIncarnation == incarnation) {
                        Execute(aNode,
                                OnPullAnswer(mNodes[aNode].mSync,
                                             mNodes[peer].mHost,
                                             aAnswer,
                                             mNow));
                      }
                    });
          });
}

// Sends a message between a caller and the store, in either direction.
void
Fleet::SendStoreMessage(const std::string& aRegion,
                        bool aDisconnected,
                        double aLoss,
                        std::function<void()> aRun)
{
  bool regions =
    (aRegion == mPartitionedRegion) == (mStore.mRegion == mPartitionedRegion);
  if (!regions || aDisconnected || Chance(mOptions.mLossRate) ||
      Chance(aLoss)) {
    return;
  }
  At(mNow + MessageDelay(), std::move(aRun));
}

void
Fleet::WatchHead(int aNode, const SyncAction& aAction)
{
  const std::string region = mNodes[aNode].mRegion;
  std::int64_t incarnation = mNodes[aNode].mIncarnation;
  auto answer = [this, aNode, incarnation, region, callId = aAction.mCallId] {
    auto found = mStore.mValues.find(std::string(kHeadKey));
    std::optional<std::string> text;
    if (found != mStore.mValues.end()) {
      text = found->second;
    }
    mNodes[aNode].mUsage.mStoreBytes +=
      static_cast<std::int64_t>(text.value_or("").size());
    SendStoreMessage(
      region,
      mNodes[aNode].mDisconnected,
      mStore.mAnswerLossRate,
      [this, aNode, incarnation, callId, text] {
        RunOnNode(aNode, incarnation, [this, aNode, callId, text] {
          Execute(aNode, OnHead(mNodes[aNode].mSync, callId, text, mNow));
        });
      });
  };
  SendStoreMessage(
    region, mNodes[aNode].mDisconnected, 0, [this, answer, aAction] {
      if (!mStore.mUp) {
        return;
      }
      mStore.mCalls += 1;
      std::int64_t revision =
        mStore.mAccepted.empty() ? 0 : mStore.mAccepted.back().mRevision;
      if (aAction.mWaitMs == 0 || revision > aAction.mRevision) {
        answer();
        return;
      }
      int id = mStore.mNextWaiter++;
      mStore.mWaiters[id] = { aAction.mRevision, answer };
      At(mNow + aAction.mWaitMs, [this, id] {
        auto found = mStore.mWaiters.find(id);
        if (found != mStore.mWaiters.end()) {
          HeadWaiter waiter = std::move(found->second);
          mStore.mWaiters.erase(found);
          waiter.mAnswer();
        }
      });
    });
}

void
Fleet::ReadSections(int aNode, const SyncAction& aAction)
{
  const std::string region = mNodes[aNode].mRegion;
  std::int64_t incarnation = mNodes[aNode].mIncarnation;
  SendStoreMessage(
    region,
    mNodes[aNode].mDisconnected,
    0,
    [this, aNode, incarnation, region, aAction] {
      if (!mStore.mUp) {
        return;
      }
      StoreCall call;
      call.mKeys = aAction.mKeys;
      StoreCallAnswer answer;
      Apply(call, answer);
      for (const auto& value : answer.mValues) {
        mNodes[aNode].mUsage.mStoreBytes +=
          static_cast<std::int64_t>(value.value_or("").size());
      }
      SendStoreMessage(
        region,
        mNodes[aNode].mDisconnected,
        mStore.mAnswerLossRate,
        [this, aNode, incarnation, aAction, answer] {
          RunOnNode(aNode, incarnation, [this, aNode, aAction, answer] {
            Execute(
              aNode,
              OnSections(
                mNodes[aNode].mSync, aAction.mCallId, answer.mValues, mNow));
          });
        });
    });
}

void
Fleet::Apply(const StoreCall& aCall, StoreCallAnswer& aAnswer)
{
  // Each key counts as one call.
  mStore.mCalls += std::max<std::int64_t>(
    1, static_cast<std::int64_t>(aCall.mKeys.size() + aCall.mEntries.size()));
  for (const auto& key : aCall.mKeys) {
    auto found = mStore.mValues.find(key);
    aAnswer.mValues.push_back(found == mStore.mValues.end()
                                ? std::nullopt
                                : std::optional(found->second));
  }
  for (const auto& [key, value] : aCall.mEntries) {
    mStore.mValues[key] = value;
  }
  if (aCall.mKind != StoreCall::Kind::SwapHead) {
    return;
  }
  std::string& head = mStore.mValues[std::string(kHeadKey)];
  if (head != aCall.mExpected) {
    aAnswer.mStatus = StoreCallAnswer::Status::Mismatch;
    return;
  }
  head = aCall.mValue;
  mStore.mAccepted.push_back({ ParseHead(head)->mRevision, mNow, head });
  auto waiters = std::move(mStore.mWaiters);
  mStore.mWaiters.clear();
  for (auto& [id, waiter] : waiters) {
    waiter.mAnswer();
  }
}

void
Fleet::CallStore(const std::string& aRegion,
                 StoreCall aCall,
                 std::function<void(const StoreCallAnswer&)> aAnswer)
{
  auto open = std::make_shared<bool>(true);
  auto finish = [open, aAnswer](const StoreCallAnswer& aResult) {
    if (*open) {
      *open = false;
      aAnswer(aResult);
    }
  };
  // A write may arrive twice, as with a retransmission by the transport.
  int copies =
    aCall.mKind != StoreCall::Kind::Read && Chance(mOptions.mDuplicateRate) ? 2
                                                                            : 1;
  for (int i = 0; i < copies; ++i) {
    SendStoreMessage(aRegion, false, 0, [this, aRegion, aCall, finish] {
      if (!mStore.mUp) {
        return;
      }
      StoreCallAnswer answer;
      Apply(aCall, answer);
      SendStoreMessage(aRegion,
                       false,
                       mStore.mAnswerLossRate,
                       [finish, answer] { finish(answer); });
    });
  }
  At(mNow + kCallTimeoutMs, [finish] {
    StoreCallAnswer lost;
    lost.mStatus = StoreCallAnswer::Status::Lost;
    finish(lost);
  });
}

void
Fleet::OfferWork(int aEntry, int aAgent)
{
  RunOnNode(aEntry, mNodes[aEntry].mIncarnation, [this, aEntry, aAgent] {
    Node& entry = mNodes[aEntry];
    FleetView view = ViewFleet(entry.mTable, mNow);
    Freshness fresh = EvaluateFreshness(entry.mSync, view, mNow);
    if (fresh != Freshness::Fresh && fresh != Freshness::StoreOutage) {
      return;
    }
    if (mObserver.mWorkAccepted) {
      mObserver.mWorkAccepted(aEntry, entry.mSync.mConfig.mRevision);
    }
    Sender from = MakeSender(aEntry);
    WorkFreshness freshness = MakeWorkFreshness(
      entry.mSync, view, entry.mReportClocks[mNodes[aAgent].mHost], mNow);
    json body = { { "revision", freshness.mRevision },
                  { "echo", freshness.mReportClockMs },
                  { "verified", freshness.mHeadAgeMs } };
    Deliver(aEntry, aAgent, body, false, [=, this](const json&) {
      ReceiveWork(aEntry, aAgent, from, freshness);
    });
  });
}

void
Fleet::ReceiveWork(int aEntry,
                   int aAgent,
                   const Sender& aFrom,
                   const WorkFreshness& aFreshness)
{
  ConfigSync& sync = mNodes[aAgent].mSync;
  RevisionCheck check = CheckWorkFreshness(sync, aFreshness, mNow);
  if (check == RevisionCheck::PullFirst) {
    Execute(aAgent, OnPeerRevision(sync, aFrom, true, mNow));
  } else if (check == RevisionCheck::RefuseOlder) {
    Sender agent = MakeSender(aAgent);
    json refusal = { { "code", "config_older" } };
    Deliver(aAgent, aEntry, refusal, false, [=, this](const json&) {
      Execute(aEntry, OnPeerRevision(mNodes[aEntry].mSync, agent, true, mNow));
    });
  } else if (check == RevisionCheck::Accept && mObserver.mWorkStarted) {
    mObserver.mWorkStarted(aAgent, aFrom.mRevision);
  }
}

} // namespace savory::sim
