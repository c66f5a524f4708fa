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
inline constexpr TimeMs kFaultDurationMs = 9000;
inline constexpr std::int64_t kStartUnixMs = 1700000000000;
inline constexpr int kAgentCount = 4;

struct SimulatedAgent
{
  AgentName mName;
  bool mAlive = true;
  // Whether the agent is partitioned from the store, and whether it reaches
  // only agents with the same value of mPeerPartitioned.
  bool mStorePartitioned = false;
  bool mPeerPartitioned = false;
  TimeMs mPausedUntilMs = 0;
  std::unique_ptr<Slot> mSlot;
  std::vector<std::unique_ptr<Slot>> mFormerSlots;
  Witness mWitness;
  bool mStoreReachable = true;
  bool mLeaseRequestInFlight = false;
  Billing mBilling;
};

// The simulated clock, agents and store, and the faults injected into them.
struct FaultEnvironment
{
  using Handler = std::function<void()>;
  struct Event
  {
    TimeMs mDueMs;
    std::uint64_t mOrder;
    Handler mHandler;
    bool operator>(const Event& aOther) const
    {
      return std::tie(mDueMs, mOrder) > std::tie(aOther.mDueMs, aOther.mOrder);
    }
  };

  explicit FaultEnvironment(const SimulationOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  SimulationOptions mOptions;
  std::mt19937_64 mRandom;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  TimeMs mNowMs = 0;
  History mHistory;
  std::vector<SimulatedAgent> mAgents{ kAgentCount };
  Billing mEntryBilling;

  bool mStoreUnavailable = false;
  int mAnswersToLose = 0;
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
  std::set<std::string> mServedKeys;
  std::vector<bool> mInjected;
  bool mBreakNextConnection = false;
  bool mRefuseNextConnection = false;

  virtual ~FaultEnvironment() = default;
  // Starts a new process with empty memory on a host.
  virtual void StartProcess(int aAgent) = 0;

  void Schedule(TimeMs aAtMs, Handler aHandler)
  {
    mEvents.push({ aAtMs, mOrder++, std::move(aHandler) });
  }

  // Runs a handler in an agent's process: after the end of a pause, and not at
  // all when the process has died.
  void RunInProcess(int aAgent, std::int64_t aIncarnation, Handler aHandler)
  {
    SimulatedAgent& agent = mAgents[aAgent];
    if (!agent.mAlive || agent.mName.mIncarnation != aIncarnation) {
      return;
    }
    if (mNowMs < agent.mPausedUntilMs) {
      Schedule(agent.mPausedUntilMs, [this, aAgent, aIncarnation, aHandler] {
        RunInProcess(aAgent, aIncarnation, aHandler);
      });
      return;
    }
    aHandler();
  }

  void ScheduleAtAgent(int aAgent, TimeMs aDelayMs, Handler aHandler)
  {
    std::int64_t incarnation = mAgents[aAgent].mName.mIncarnation;
    Schedule(mNowMs + aDelayMs,
             [this, aAgent, incarnation, aHandler = std::move(aHandler)] {
               RunInProcess(aAgent, incarnation, aHandler);
             });
  }

  // Calls the store: aWork runs in the store; aDone receives whether an answer
  // arrived before the timeout.
  void CallStore(int aAgent,
                 bool aWrite,
                 Handler aWork,
                 std::function<void(bool)> aDone)
  {
    TimeMs delay = 1 + mStoreDelayMs;
    auto answered = std::make_shared<bool>(false);
    Schedule(mNowMs + delay, [this, aAgent, aWrite, aWork, aDone, answered] {
      if (mStoreUnavailable || mAgents[aAgent].mStorePartitioned) {
        return;
      }
      aWork();
      if (aWrite && mAnswersToLose > 0) {
        --mAnswersToLose;
        return;
      }
      ScheduleAtAgent(aAgent, 1, [aDone, answered] {
        if (!*answered) {
          *answered = true;
          aDone(true);
        }
      });
    });
    ScheduleAtAgent(aAgent, kTimeoutMs, [aDone, answered] {
      if (!*answered) {
        *answered = true;
        aDone(false);
      }
    });
  }

  // Sends a message between agents. It is lost when a partition separates them.
  void SendMessage(int aSender, int aRecipient, Handler aHandler)
  {
    if (mAgents[aSender].mPeerPartitioned ==
        mAgents[aRecipient].mPeerPartitioned) {
      ScheduleAtAgent(aRecipient, 1, std::move(aHandler));
    }
  }

  void InjectFaultsAt(InjectionPoint aPoint, int aOwner)
  {
    for (std::size_t i = 0; i < mOptions.mInjections.size(); ++i) {
      bool previousInjected = i == 0 || mInjected[i - 1];
      if (!mInjected[i] && previousInjected &&
          mOptions.mInjections[i].mPoint == aPoint) {
        mInjected[i] = true;
        ++mHistory.mInjectedCount;
        InjectFault(mOptions.mInjections[i].mFault, aOwner);
      }
    }
  }

  void KillProcess(int aAgent, TimeMs aRestartDelayMs)
  {
    SimulatedAgent& agent = mAgents[aAgent];
    agent.mAlive = false;
    Schedule(mNowMs + aRestartDelayMs, [this, aAgent] {
      if (!mAgents[aAgent].mAlive) {
        StartProcess(aAgent);
      }
    });
  }

  std::vector<int> NamedWitnesses()
  {
    std::vector<int> result;
    for (int i = 0; mStatus && i < kAgentCount; ++i) {
      const auto& named = mStatus->mWitnesses;
      if (std::find(named.begin(), named.end(), mAgents[i].mName) !=
          named.end()) {
        result.push_back(i);
      }
    }
    return result;
  }

  void InjectFault(Fault aFault, int aOwner)
  {
    auto witnesses = NamedWitnesses();
    switch (aFault) {
      case Fault::None:
        break;
      case Fault::KillOwner:
        KillProcess(aOwner, 2 * kEndMs);
        break;
      case Fault::ReplaceOwner:
        KillProcess(aOwner, 300);
        break;
      case Fault::PauseOwner:
        mAgents[aOwner].mPausedUntilMs = mNowMs + kFaultDurationMs;
        break;
      case Fault::PartitionOwner:
        mAgents[aOwner].mStorePartitioned = true;
        Schedule(mNowMs + kFaultDurationMs + 4000,
                 [this, aOwner] { mAgents[aOwner].mStorePartitioned = false; });
        break;
      case Fault::PartitionOwnerAndWitness:
        for (int agent :
             { aOwner, witnesses.empty() ? aOwner : witnesses[0] }) {
          mAgents[agent].mStorePartitioned = true;
          mAgents[agent].mPeerPartitioned = true;
          Schedule(mNowMs + kFaultDurationMs + 4000, [this, agent] {
            mAgents[agent].mStorePartitioned = false;
            mAgents[agent].mPeerPartitioned = false;
          });
        }
        break;
      case Fault::StoreUnavailable:
        mStoreUnavailable = true;
        Schedule(mNowMs + kFaultDurationMs,
                 [this] { mStoreUnavailable = false; });
        break;
      case Fault::StoreLosesAnswers:
        mAnswersToLose += 3;
        break;
      case Fault::StoreSlow:
        mStoreDelayMs = 3 * kTimeoutMs;
        Schedule(mNowMs + kFaultDurationMs, [this] { mStoreDelayMs = 0; });
        break;
      case Fault::KillWitness:
        if (!witnesses.empty()) {
          KillProcess(witnesses[mRandom() % witnesses.size()], 500);
        }
        break;
      case Fault::KillBothWitnesses:
        for (int witness : witnesses) {
          KillProcess(witness, 500);
        }
        break;
      case Fault::BackendConnectionLost:
        mBreakNextConnection = true;
        break;
      case Fault::BackendUnreachable:
        mRefuseNextConnection = true;
        break;
    }
  }
};

} // namespace savory::test
