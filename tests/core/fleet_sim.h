#pragma once

#include "savory/core/config_sync.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace savory::sim {

// The size of a simulated fleet and the quality of its network. Rates are
// probabilities per message; a late message takes up to `mLateMs`. Each agent
// reports to `mReportTargets` entries.
struct SimulationOptions
{
  int mRegions = 3;
  int mEntriesPerRegion = 3;
  int mAgentsPerEntry = 2;
  int mEntriesWithAgents = 1000;
  int mReportTargets = 3;
  double mLossRate = 0;
  double mDuplicateRate = 0;
  double mLateRate = 0;
  TimeMs mLateMs = 1500;
  TimeMs mTickMs = 100;
  SyncOptions mSync;
  std::uint64_t mSeed = 1;
};

// The resources that a node has used. Bytes are those of the encoded messages
// of configuration and membership, without transport headers.
struct Usage
{
  std::int64_t mSentBytes = 0;
  std::int64_t mReceivedBytes = 0;
  std::int64_t mGossipBytes = 0;
  std::int64_t mStoreBytes = 0;
  std::int64_t mMessages = 0;
  double mCpuSeconds = 0;
};

// A simulated process. `mHomeEntry` is the entry that an agent belongs to,
// `mDeferred` the events that wait for the end of a pause, and `mReportClocks`
// the clock of the last report received from each agent.
struct Node
{
  std::string mHost;
  std::string mRegion;
  Role mRole = Role::Entry;
  bool mUp = true;
  bool mPaused = false;
  bool mDisconnected = false;
  std::int64_t mIncarnation = 0;
  int mHomeEntry = -1;
  std::vector<int> mAgents;
  ConfigSync mSync;
  Membership mTable;
  std::vector<std::function<void()>> mDeferred;
  Usage mUsage;
  std::map<std::string, double> mDemand;
  std::map<std::string, TimeMs> mReportClocks;
};

// One accepted compare-and-swap of the head, in the order of the store.
struct AcceptedChange
{
  std::int64_t mRevision = 0;
  TimeMs mAcceptedMs = 0;
  std::string mHeadText;
};

// A watch of the head that is answered once the revision is exceeded.
struct HeadWaiter
{
  std::int64_t mRevision = 0;
  std::function<void()> mAnswer;
};

// The simulated store: its values, the accepted heads in order and the number
// of calls served. `mLastDownMs` is when it last went down or came up again.
struct FakeStore
{
  std::map<std::string, std::string> mValues;
  std::vector<AcceptedChange> mAccepted;
  std::map<int, HeadWaiter> mWaiters;
  int mNextWaiter = 0;
  bool mUp = true;
  TimeMs mLastDownMs = -1000000;
  std::int64_t mCalls = 0;
  double mAnswerLossRate = 0;
  std::string mRegion = "r0";
};

// Callbacks of the simulation; each may be empty.
struct Observer
{
  std::function<void(int aNode, std::int64_t aRevision)> mApplied;
  std::function<void(int aNode, std::int64_t aRevision)> mWorkAccepted;
  std::function<void(int aAgent, std::int64_t aSenderRevision)> mWorkStarted;
};

// Deterministic discrete-event simulation of a fleet of entries and agents with
// a store. Events run in the order of their time; events of the same time run
// in the order of their creation.
class Fleet
{
public:
  explicit Fleet(const SimulationOptions& aOptions);

  void RunUntil(TimeMs aTimeMs);
  void At(TimeMs aTimeMs, std::function<void()> aEvent);

  // Stops a node and starts it again after `aDownMs` in a new incarnation and
  // without any state.
  void Restart(int aNode, TimeMs aDownMs);
  void Pause(int aNode);
  void Resume(int aNode);
  void SetStore(bool aUp);

  // Calls the store on behalf of an operator in a region. A call without an
  // answer after one second ends with status Lost.
  void CallStore(const std::string& aRegion,
                 StoreCall aCall,
                 std::function<void(const StoreCallAnswer&)> aAnswer);

  // Offers work to an entry, which sends it to an agent if its configuration is
  // fresh.
  void OfferWork(int aEntry, int aAgent);

  std::vector<HostRow> HostList() const;

  TimeMs mNow = 1000;
  SimulationOptions mOptions;
  std::vector<Node> mNodes;
  FakeStore mStore;
  Observer mObserver;
  std::mt19937_64 mRandom;
  std::string mPartitionedRegion;

private:
  struct Event
  {
    TimeMs mTimeMs;
    std::uint64_t mNumber;
    std::function<void()> mRun;
    bool operator<(const Event& aOther) const
    {
      return std::tie(mTimeMs, mNumber) >
             std::tie(aOther.mTimeMs, aOther.mNumber);
    }
  };

  void Start(int aNode);
  void Tick(int aNode, std::int64_t aIncarnation);
  void Execute(int aNode, const SyncActions& aActions);
  void Gossip(int aNode, const GossipRequest& aRequest);
  void SendReport(int aAgent);
  void ReceiveWork(int aEntry,
                   int aAgent,
                   const Sender& aFrom,
                   const WorkFreshness& aFreshness);
  void Pull(int aNode, const std::string& aHost, const nlohmann::json& aBody);
  void WatchHead(int aNode, const SyncAction& aAction);
  void ReadSections(int aNode, const SyncAction& aAction);
  void Apply(const StoreCall& aCall, StoreCallAnswer& aAnswer);
  void RunOnNode(int aNode,
                 std::int64_t aIncarnation,
                 std::function<void()> aRun);
  void Deliver(int aFrom,
               int aTo,
               const nlohmann::json& aBody,
               bool aGossip,
               std::function<void(const nlohmann::json&)> aReceive);
  void SendStoreMessage(const std::string& aRegion,
                        bool aDisconnected,
                        double aLoss,
                        std::function<void()> aRun);
  bool Connected(int aFrom, int aTo) const;
  int FindNode(const std::string& aHost) const;
  Sender MakeSender(int aNode) const;
  bool Chance(double aProbability);
  TimeMs MessageDelay();

  std::priority_queue<Event> mEvents;
  std::uint64_t mNextNumber = 0;
  std::map<std::string, int> mIndex;
};

} // namespace savory::sim
