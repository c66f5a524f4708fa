#pragma once

#include "record_simulation.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace savory::test {

inline constexpr TimeMs kEndMs = 45000;
inline constexpr TimeMs kTimeoutMs = 200;
inline constexpr TimeMs kFaultMs = 9000;
inline constexpr std::int64_t kUnixMs = 1700000000000;
inline constexpr int kAgents = 4;

struct Agent
{
  AgentName mName;
  bool mAlive = true;
  // Cut off from the store; and whether it reaches only others so marked.
  bool mCut = false;
  bool mIsland = false;
  TimeMs mPausedUntilMs = 0;
  std::unique_ptr<Slot> mSlot;
  std::vector<std::unique_ptr<Slot>> mOld;
  Witness mWitness;
  bool mStoreSeen = true;
  bool mTaking = false;
  Billing mBilling;
};

// The simulated time, the faults, and what they hit: agents and the store.
struct Scene
{
  using Handler = std::function<void()>;
  struct Event
  {
    TimeMs mAtMs;
    std::uint64_t mOrder;
    Handler mRun;
    bool operator>(const Event& aOther) const
    {
      return std::tie(mAtMs, mOrder) > std::tie(aOther.mAtMs, aOther.mOrder);
    }
  };

  explicit Scene(const WorldOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  WorldOptions mOptions;
  std::mt19937_64 mRandom;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  TimeMs mNowMs = 0;
  History mHistory;
  std::vector<Agent> mAgents{ kAgents };
  Billing mEntryBilling;

  bool mStoreDown = false;
  int mLoseAnswers = 0;
  TimeMs mStoreDelayMs = 0;
  std::optional<SlotStatus> mStatus;
  std::map<std::pair<std::int64_t, std::int64_t>, std::string> mBatches;
  int mLeaseOwner = -1;
  std::int64_t mLeaseIncarnation = 0;
  TimeMs mLeaseEndMs = 0;

  int mKnownOwner = -1;
  std::int64_t mKnownEpoch = 0;
  CallId mNextCall = 1;
  std::map<CallId, KeyedCall> mCalls;
  std::set<CallId> mAnswered;
  std::set<std::string> mServed;
  std::vector<bool> mStruck;
  bool mBreak = false;
  bool mRefuse = false;

  virtual ~Scene() = default;
  // Starts a process on a host, with empty memory.
  virtual void Start(int aAgent) = 0;

  void At(TimeMs aAtMs, Handler aRun)
  {
    mEvents.push({ aAtMs, mOrder++, std::move(aRun) });
  }

  // Runs a handler in the process of an agent: not when it has died, and only
  // after a pause.
  void In(int aAgent, std::int64_t aIncarnation, Handler aRun)
  {
    Agent& agent = mAgents[aAgent];
    if (!agent.mAlive || agent.mName.mIncarnation != aIncarnation) {
      return;
    }
    if (mNowMs < agent.mPausedUntilMs) {
      At(agent.mPausedUntilMs, [this, aAgent, aIncarnation, aRun] {
        In(aAgent, aIncarnation, aRun);
      });
      return;
    }
    aRun();
  }

  void Later(int aAgent, TimeMs aDelayMs, Handler aRun)
  {
    std::int64_t incarnation = mAgents[aAgent].mName.mIncarnation;
    At(mNowMs + aDelayMs, [this, aAgent, incarnation, aRun = std::move(aRun)] {
      In(aAgent, incarnation, aRun);
    });
  }

  // A store call: aWork runs in the store, aDone gets whether an answer came.
  void Store(int aAgent,
             bool aWrite,
             Handler aWork,
             std::function<void(bool)> aDone)
  {
    TimeMs delay = 1 + mStoreDelayMs;
    auto answered = std::make_shared<bool>(false);
    At(mNowMs + delay, [this, aAgent, aWrite, aWork, aDone, answered] {
      if (mStoreDown || mAgents[aAgent].mCut) {
        return;
      }
      aWork();
      if (aWrite && mLoseAnswers > 0) {
        --mLoseAnswers;
        return;
      }
      Later(aAgent, 1, [aDone, answered] {
        if (!*answered) {
          *answered = true;
          aDone(true);
        }
      });
    });
    Later(aAgent, kTimeoutMs, [aDone, answered] {
      if (!*answered) {
        *answered = true;
        aDone(false);
      }
    });
  }

  // A message between agents; it is lost when a cut lies between them.
  void Message(int aFrom, int aTo, Handler aRun)
  {
    if (mAgents[aFrom].mIsland == mAgents[aTo].mIsland) {
      Later(aTo, 1, std::move(aRun));
    }
  }

  void StrikeAt(Step aStep, int aOwner)
  {
    for (std::size_t i = 0; i < mOptions.mStrikes.size(); ++i) {
      bool earlier = i == 0 || mStruck[i - 1];
      if (!mStruck[i] && earlier && mOptions.mStrikes[i].mStep == aStep) {
        mStruck[i] = true;
        ++mHistory.mStruck;
        Apply(mOptions.mStrikes[i].mFault, aOwner);
      }
    }
  }

  void Kill(int aAgent, TimeMs aBackMs)
  {
    Agent& agent = mAgents[aAgent];
    agent.mAlive = false;
    At(mNowMs + aBackMs, [this, aAgent] {
      if (!mAgents[aAgent].mAlive) {
        Start(aAgent);
      }
    });
  }

  std::vector<int> NamedWitnesses()
  {
    std::vector<int> result;
    for (int i = 0; mStatus && i < kAgents; ++i) {
      const auto& named = mStatus->mWitnesses;
      if (std::find(named.begin(), named.end(), mAgents[i].mName) !=
          named.end()) {
        result.push_back(i);
      }
    }
    return result;
  }

  void Apply(Fault aFault, int aOwner)
  {
    auto witnesses = NamedWitnesses();
    switch (aFault) {
      case Fault::None:
        break;
      case Fault::KillOwner:
        Kill(aOwner, 2 * kEndMs);
        break;
      case Fault::ReplaceOwner:
        Kill(aOwner, 300);
        break;
      case Fault::PauseOwner:
        mAgents[aOwner].mPausedUntilMs = mNowMs + kFaultMs;
        break;
      case Fault::CutOwner:
        mAgents[aOwner].mCut = true;
        At(mNowMs + kFaultMs + 4000,
           [this, aOwner] { mAgents[aOwner].mCut = false; });
        break;
      case Fault::CutOwnerAndWitness:
        for (int agent :
             { aOwner, witnesses.empty() ? aOwner : witnesses[0] }) {
          mAgents[agent].mCut = true;
          mAgents[agent].mIsland = true;
          At(mNowMs + kFaultMs + 4000, [this, agent] {
            mAgents[agent].mCut = false;
            mAgents[agent].mIsland = false;
          });
        }
        break;
      case Fault::StoreDown:
        mStoreDown = true;
        At(mNowMs + kFaultMs, [this] { mStoreDown = false; });
        break;
      case Fault::StoreLosesAnswers:
        mLoseAnswers += 3;
        break;
      case Fault::StoreSlow:
        mStoreDelayMs = 3 * kTimeoutMs;
        At(mNowMs + kFaultMs, [this] { mStoreDelayMs = 0; });
        break;
      case Fault::KillWitness:
        if (!witnesses.empty()) {
          Kill(witnesses[mRandom() % witnesses.size()], 500);
        }
        break;
      case Fault::KillBothWitnesses:
        for (int witness : witnesses) {
          Kill(witness, 500);
        }
        break;
      case Fault::BackendBreaks:
        mBreak = true;
        break;
      case Fault::BackendUnreachable:
        mRefuse = true;
        break;
    }
  }
};

} // namespace savory::test
