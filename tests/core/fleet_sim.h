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

// The shape of a simulated fleet and how bad its network is. Probabilities are
// those of a single message; a late one takes up to `mLateMs`.
struct Shape
{
  int mRegions = 3;
  int mEntriesPerRegion = 3;
  int mAgentsPerEntry = 2;
  int mEntriesWithAgents = 1000;
  int mReportTo = 3;
  double mLoss = 0;
  double mDuplicates = 0;
  double mLate = 0;
  TimeMs mLateMs = 1500;
  TimeMs mTickMs = 100;
  SyncOptions mSync;
  std::uint64_t mSeed = 1;
};

// What a node has used. Bytes are those of encoded messages of configuration
// and membership, without the headers of the transport.
struct Usage
{
  std::int64_t mSentBytes = 0;
  std::int64_t mReceivedBytes = 0;
  std::int64_t mGossipBytes = 0;
  std::int64_t mStoreBytes = 0;
  std::int64_t mMessages = 0;
  double mCpuSeconds = 0;
};

struct Node
{
  std::string mHost;
  std::string mRegion;
  Role mRole = Role::Entry;
  bool mUp = true;
  bool mPaused = false;
  bool mCutAlone = false;
  std::int64_t mIncarnation = 0;
  int mHome = -1;
  std::vector<int> mAgents;
  ConfigSync mSync;
  Membership mTable;
  std::vector<std::function<void()>> mHeld;
  Usage mUsage;
  std::map<std::string, double> mDemand;
  std::map<std::string, TimeMs> mEchoes;
};

// One accepted swap of the head, as the store saw it.
struct AcceptedChange
{
  std::int64_t mRevision = 0;
  TimeMs mAtMs = 0;
  std::string mHeadText;
};

struct Waiter
{
  std::int64_t mRevision = 0;
  std::function<void()> mAnswer;
};

// The store: its values, the accepted heads in order and the calls it served.
struct FakeStore
{
  std::map<std::string, std::string> mValues;
  std::vector<AcceptedChange> mAccepted;
  std::map<int, Waiter> mWaiters;
  int mNextWaiter = 0;
  bool mUp = true;
  TimeMs mLastDownMs = -1000000;
  std::int64_t mCalls = 0;
  double mLoseAnswers = 0;
  std::string mRegion = "r0";
};

// What the simulation tells whoever watches it.
struct Observer
{
  std::function<void(int aNode, std::int64_t aRevision)> mAdopted;
  std::function<void(int aNode, std::int64_t aRevision)> mWorkTaken;
  std::function<void(int aAgent, std::int64_t aSender)> mWorkRun;
};

// A deterministic fleet of entries and agents with a store. Events run in the
// order of their time, and of their number at the same time.
class Fleet
{
public:
  explicit Fleet(const Shape& aShape);

  void RunUntil(TimeMs aTimeMs);
  void At(TimeMs aTimeMs, std::function<void()> aEvent);

  // Stops a node and starts it again with nothing, in a new incarnation.
  void Restart(int aNode, TimeMs aDownMs);
  void Pause(int aNode);
  void Resume(int aNode);
  void SetStore(bool aUp);

  // Makes a call of the store for an operator in a region; a call without an
  // answer after a second is given as Lost.
  void CallStore(const std::string& aRegion,
                 StoreCall aCall,
                 std::function<void(const StoreCallAnswer&)> aAnswer);

  // Lets an entry take work and send it to an agent.
  void OfferWork(int aEntry, int aAgent);

  std::vector<HostRow> HostList() const;

  TimeMs mNow = 1000;
  Shape mShape;
  std::vector<Node> mNodes;
  FakeStore mStore;
  Observer mObserver;
  std::mt19937_64 mRandom;
  std::string mCutRegion;

private:
  struct Event
  {
    TimeMs mAtMs;
    std::uint64_t mNumber;
    std::function<void()> mRun;
    bool operator<(const Event& aOther) const
    {
      return std::tie(mAtMs, mNumber) > std::tie(aOther.mAtMs, aOther.mNumber);
    }
  };

  void Start(int aNode);
  void Tick(int aNode, std::int64_t aIncarnation);
  void Act(int aNode, const SyncActions& aActions);
  void Gossip(int aNode, const GossipRequest& aRequest);
  void Report(int aAgent);
  void ReceiveWork(int aEntry,
                   int aAgent,
                   const Sender& aFrom,
                   const WorkFreshness& aStamp);
  void Pull(int aNode, const std::string& aHost, const nlohmann::json& aBody);
  void WatchHead(int aNode, const SyncAction& aAction);
  void ReadSections(int aNode, const SyncAction& aAction);
  void Apply(const StoreCall& aCall, StoreCallAnswer& aAnswer);
  void RunAt(int aNode, std::int64_t aIncarnation, std::function<void()> aRun);
  void Deliver(int aFrom,
               int aTo,
               const nlohmann::json& aBody,
               bool aGossip,
               std::function<void(const nlohmann::json&)> aReceive);
  void StoreLeg(const std::string& aRegion,
                bool aCut,
                double aLoss,
                std::function<void()> aRun);
  bool Connected(int aFrom, int aTo) const;
  int IndexOf(const std::string& aHost) const;
  Sender SenderOf(int aNode) const;
  bool Chance(double aProbability);
  TimeMs Delay();

  std::priority_queue<Event> mEvents;
  std::uint64_t mNextNumber = 0;
  std::map<std::string, int> mIndex;
};

} // namespace savory::sim
