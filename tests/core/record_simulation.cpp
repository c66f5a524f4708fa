#include "record_simulation.h"

#include "record_fault_environment.h"

#include <nlohmann/json.hpp>

namespace savory::test {

namespace {

struct RecordSimulation : FaultEnvironment
{
  using FaultEnvironment::FaultEnvironment;

  void StartProcess(int aAgent) override
  {
    SimulatedAgent& agent = mAgents[aAgent];
    std::int64_t incarnation = agent.mName.mIncarnation + 1;
    agent.mName = { "agent-" + std::to_string(aAgent), incarnation };
    agent.mAlive = true;
    agent.mPausedUntilMs = 0;
    agent.mSlot.reset();
    agent.mFormerSlots.clear();
    agent.mWitness = Witness{ .mSelf = agent.mName,
                              .mClaims = {},
                              .mFenceEpochs = mOptions.mWitnessFence };
    agent.mStoreReachable = true;
    agent.mLeaseRequestInFlight = false;
    agent.mBilling =
      MakeBilling(agent.mName.mHost + "-" + std::to_string(incarnation),
                  BillingOptions{ .mHoldMs = 10000 });
    RunTimer(aAgent);
    ScheduleAtAgent(
      aAgent, 1 + aAgent * 37, [this, aAgent] { RenewOrAcquireLease(aAgent); });
    ScheduleAtAgent(aAgent, 5, [this, aAgent] { ProbeStore(aAgent); });
  }

  // Applies an event function to an agent's slot and executes the actions.
  template<class Event>
  void ApplyEvent(int aAgent, Slot* aSlot, Event aEvent)
  {
    ExecuteActions(
      aAgent, aSlot, std::make_shared<RecordActions>(aEvent(*aSlot)), 0);
  }

  // Executes actions in order from aFirst on. The process may die or be paused
  // in between.
  void ExecuteActions(int aAgent,
                      Slot* aSlot,
                      const std::shared_ptr<RecordActions>& aActions,
                      std::size_t aFirst)
  {
    for (std::size_t i = aFirst; i < aActions->size(); ++i) {
      if (auto* dispatch = std::get_if<DispatchCall>(&(*aActions)[i])) {
        if (dispatch->mClaim.mKey == "key-0") {
          InjectFaultsAt(InjectionPoint::BeforeDispatch, aAgent);
        }
        TimeMs dispatchedMs = mNowMs;
        std::int64_t incarnation = mAgents[aAgent].mName.mIncarnation;
        RunInProcess(aAgent,
                     incarnation,
                     [this, aAgent, aSlot, aActions, i, dispatchedMs] {
                       Dispatch(aAgent,
                                aSlot,
                                std::get<DispatchCall>((*aActions)[i]),
                                dispatchedMs);
                       ExecuteActions(aAgent, aSlot, aActions, i + 1);
                     });
        return;
      }
      std::visit([&](const auto& aAction) { Execute(aAgent, aSlot, aAction); },
                 (*aActions)[i]);
    }
  }

  void Execute(int, Slot*, const DispatchCall&) {}
  void Execute(int, Slot*, const SlotOwnershipLost&) {}
  void Execute(int aAgent, Slot* aSlot, const WriteStatus& aWrite)
  {
    auto answer = std::make_shared<StoreAnswer>();
    auto found = std::make_shared<std::optional<SlotStatus>>();
    CallStore(
      aAgent,
      true,
      [this, aWrite, answer, found] {
        *found = mStatus;
        *answer = StoreAnswer::Conflict;
        if (mStatus == aWrite.mExpected) {
          mStatus = *ParseSlotStatus(ToJson(aWrite.mDesired).dump());
          *answer = StoreAnswer::Written;
        }
      },
      [this, aAgent, aSlot, answer, found](bool aReached) {
        ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
          return OnStatusAnswer(
            aState, aReached ? *answer : StoreAnswer::Lost, *found, mNowMs);
        });
      });
  }
  void Execute(int aAgent, Slot* aSlot, const WriteBatch& aWrite)
  {
    auto answer = std::make_shared<StoreAnswer>();
    auto batch = ParseRecordBatch(aWrite.mValue);
    bool hasClaim = false;
    bool hasOutcome = false;
    for (const auto& item : batch->mItems) {
      bool target = item.mClaim.mKey == "key-0";
      hasClaim = hasClaim || (target && item.mKind == RecordItemKind::Claim);
      hasOutcome =
        hasOutcome || (target && item.mKind == RecordItemKind::Outcome);
    }
    CallStore(
      aAgent,
      true,
      [this, aAgent, aWrite, answer, hasClaim, hasOutcome] {
        auto id = std::pair(aWrite.mEpoch, aWrite.mSequence);
        if (aWrite.mConditional &&
            (!mStatus || mStatus->mEpoch != aWrite.mEpoch)) {
          *answer = StoreAnswer::Conflict;
        } else if (mBatches.contains(id)) {
          *answer = StoreAnswer::Lost;
        } else {
          mBatches[id] = aWrite.mValue;
          *answer = StoreAnswer::Written;
          if (hasClaim) {
            InjectFaultsAt(InjectionPoint::AfterClaim, aAgent);
          }
          if (hasOutcome) {
            InjectFaultsAt(InjectionPoint::AfterOutcome, aAgent);
          }
        }
      },
      [this, aAgent, aSlot, answer, aWrite](bool aReached) {
        ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
          return OnBatchAnswer(aState,
                               aWrite.mSequence,
                               aReached ? *answer : StoreAnswer::Lost,
                               mNowMs);
        });
      });
  }
  void Execute(int aAgent, Slot* aSlot, const ReadBatch& aRead)
  {
    auto value = std::make_shared<std::optional<std::string>>();
    CallStore(
      aAgent,
      false,
      [this, aRead, value] {
        auto found = mBatches.find({ aRead.mEpoch, aRead.mSequence });
        if (found != mBatches.end()) {
          *value = found->second;
        }
      },
      [this, aAgent, aSlot, aRead, value](bool aReached) {
        ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
          return OnBatchReadBack(
            aState, aRead.mSequence, aReached, *value, mNowMs);
        });
      });
  }
  void Execute(int aAgent, Slot* aSlot, const ReadRecord&)
  {
    auto values = std::make_shared<std::vector<std::string>>();
    CallStore(
      aAgent,
      false,
      [this, values] {
        for (const auto& [id, value] : mBatches) {
          values->push_back(value);
        }
      },
      [this, aAgent, aSlot, values](bool aReached) {
        ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
          return OnRecordRead(
            aState, aReached ? std::optional(*values) : std::nullopt, mNowMs);
        });
      });
  }
  void Execute(int, Slot*, const DeleteBatch& aDelete)
  {
    mBatches.erase({ aDelete.mEpoch, aDelete.mSequence });
  }
  void Execute(int aAgent, Slot* aSlot, const SendClaims& aMessage)
  {
    auto answered = std::make_shared<bool>(false);
    auto lost = [this, aAgent, aSlot, aMessage, answered] {
      if (!*answered) {
        *answered = true;
        ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
          return OnWitnessLost(aState, aMessage.mWitnessIndex, mNowMs);
        });
      }
    };
    int to = FindAgent(aMessage.mRecipient.mHost);
    SendMessage(
      aAgent, to, [this, aAgent, aSlot, to, aMessage, answered, lost] {
        auto stored = StoreClaims(mAgents[to].mWitness, aMessage);
        bool target = std::any_of(
          aMessage.mClaims.begin(),
          aMessage.mClaims.end(),
          [](const Claim& aClaim) { return aClaim.mKey == "key-0"; });
        if (stored && target && aMessage.mWitnessIndex == 1) {
          InjectFaultsAt(InjectionPoint::AfterClaim, aAgent);
        }
        SendMessage(
          to, aAgent, [this, aAgent, aSlot, aMessage, answered, stored, lost] {
            if (!stored && stored.error() != WitnessRefusal::OlderEpoch) {
              lost();
            } else if (!*answered) {
              *answered = true;
              ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
                return stored ? OnWitnessAck(aState,
                                             aMessage.mWitnessIndex,
                                             aMessage.mRound,
                                             mNowMs)
                              : OnWitnessRefusal(
                                  aState, aMessage.mWitnessIndex, mNowMs);
              });
            }
          });
      });
    ScheduleAtAgent(aAgent, kTimeoutMs, lost);
  }
  void Execute(int aAgent, Slot* aSlot, const FetchClaims& aMessage)
  {
    auto answered = std::make_shared<bool>(false);
    auto failed = [this, aAgent, aSlot, aMessage, answered](bool aReplaced) {
      if (!*answered) {
        *answered = true;
        ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
          return OnClaimsFetchFailed(
            aState, aMessage.mWitnessIndex, aReplaced, mNowMs);
        });
      }
    };
    int to = FindAgent(aMessage.mRecipient.mHost);
    SendMessage(
      aAgent, to, [this, aAgent, aSlot, to, aMessage, answered, failed] {
        auto claims = TransferClaims(mAgents[to].mWitness, aMessage);
        SendMessage(to,
                    aAgent,
                    [this, aAgent, aSlot, aMessage, answered, claims, failed] {
                      if (!claims) {
                        failed(claims.error() ==
                               WitnessRefusal::OtherIncarnation);
                      } else if (!*answered) {
                        *answered = true;
                        ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
                          return OnClaimsFetched(
                            aState, aMessage.mWitnessIndex, *claims, mNowMs);
                        });
                      }
                    });
      });
    ScheduleAtAgent(aAgent, kTimeoutMs, [failed] { failed(false); });
  }
  void Execute(int aAgent, Slot*, const DiscardClaims& aMessage)
  {
    int to = FindAgent(aMessage.mRecipient.mHost);
    SendMessage(aAgent, to, [this, to, aMessage] {
      DiscardWrittenClaims(mAgents[to].mWitness, aMessage);
    });
  }
  void Execute(int aAgent, Slot*, const AnswerCall& aAnswer)
  {
    auto call = mCalls.find(aAnswer.mCall);
    mHistory.mAnswers.push_back({ call->second.mKey,
                                  call->second.mFingerprint,
                                  aAnswer.mCall,
                                  mNowMs,
                                  aAnswer });
    if (aAnswer.mOutcome) {
      mServedKeys.insert(call->second.mKey);
      if (!aAnswer.mReplayed) {
        // The entry adds the step before it completes the caller's answer.
        AddStep(mEntryBilling, MakeBillStep(call->second, aAgent), mNowMs);
      }
    }
  }

  BillStep MakeBillStep(const KeyedCall& aCall, int aAgent)
  {
    return { .mId = { aCall.mRequestId, 0, 0 },
             .mCustomer = aCall.mCustomer,
             .mService = "ledger",
             .mVersion = "",
             .mAgent = mAgents[aAgent].mName.mHost,
             .mCost = 1 };
  }

  int FindAgent(const std::string& aHost) { return aHost.back() - '0'; }

  void Dispatch(int aAgent,
                Slot* aSlot,
                const DispatchCall& aCall,
                TimeMs aDispatchedMs)
  {
    // 1. The connection is refused: nothing is sent.
    bool target = aCall.mClaim.mKey == "key-0";
    if (mRefuseNextConnection && target) {
      mRefuseNextConnection = false;
      ScheduleAtAgent(aAgent, 2, [this, aAgent, aSlot, aCall] {
        ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
          return OnBackendNotReached(aState, aCall.mCall, mNowMs);
        });
      });
      return;
    }
    // 2. The backend server runs the call even if the agent fails.
    std::int64_t incarnation = mAgents[aAgent].mName.mIncarnation;
    Schedule(
      mNowMs + 1,
      [this, aAgent, aSlot, aCall, aDispatchedMs, target, incarnation] {
        std::string body = "run " + std::to_string(mHistory.mRuns.size());
        mHistory.mRuns.push_back({ aCall.mClaim.mKey,
                                   body,
                                   aCall.mClaim.mFingerprint,
                                   aCall.mCall,
                                   aDispatchedMs });
        if (target) {
          InjectFaultsAt(InjectionPoint::AfterDispatch, aAgent);
        }
        // 3. The answer arrives, or the connection is lost.
        bool breaks = mBreakNextConnection && target;
        mBreakNextConnection = mBreakNextConnection && !breaks;
        Schedule(
          mNowMs + 150,
          [this, aAgent, aSlot, aCall, body, target, breaks, incarnation] {
            RunInProcess(
              aAgent,
              incarnation,
              [this, aAgent, aSlot, aCall, body, target, breaks, incarnation] {
                if (target) {
                  InjectFaultsAt(InjectionPoint::BeforeOutcome, aAgent);
                }
                RunInProcess(
                  aAgent,
                  incarnation,
                  [this, aAgent, aSlot, aCall, body, breaks] {
                    if (!breaks) {
                      AddStep(mAgents[aAgent].mBilling,
                              MakeBillStep(mCalls.at(aCall.mCall), aAgent),
                              mNowMs);
                    }
                    ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
                      return breaks ? OnBackendConnectionLost(
                                        aState, aCall.mCall, mNowMs)
                                    : OnBackendAnswer(
                                        aState,
                                        aCall.mCall,
                                        { .mStatus = 201,
                                          .mHeaders = { { "x", "\xff" } },
                                          .mBody = body },
                                        mNowMs);
                    });
                  });
              });
          });
      });
  }

  void ExecuteBilling(int aAgent, const BillingActions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* write = std::get_if<WriteBills>(&action)) {
        // Writes of bills ignore partitions, which test only the record.
        bool written = !mStoreUnavailable;
        if (written) {
          mHistory.mBills.push_back(write->mValue);
        }
        Billing& billing =
          aAgent < 0 ? mEntryBilling : mAgents[aAgent].mBilling;
        ExecuteBilling(
          aAgent, OnBillsAnswer(billing, write->mSequence, written, mNowMs));
      } else {
        const auto& settled = std::get<SendSettled>(action);
        SimulatedAgent& agent = mAgents[FindAgent(settled.mAgent)];
        if (agent.mAlive) {
          OnStepsSettled(agent.mBilling, settled.mSteps);
        }
      }
    }
  }

  // The agent's periodic timer: runs what is due, reports ownership to the
  // entry and proposes witnesses.
  void RunTimer(int aAgent)
  {
    SimulatedAgent& agent = mAgents[aAgent];
    Slot* slot = agent.mSlot.get();
    if (slot != nullptr) {
      auto due = NextDueMs(*slot);
      if (due && *due <= mNowMs) {
        ApplyEvent(
          aAgent, slot, [&](Slot& aState) { return Tick(aState, mNowMs); });
      }
      if (slot->mPhase == SlotPhase::Lost ||
          slot->mPhase == SlotPhase::Released) {
        agent.mFormerSlots.push_back(std::move(agent.mSlot));
      } else if (IsServing(*slot)) {
        if (slot->mStatus.mEpoch > mKnownEpoch) {
          mKnownEpoch = slot->mStatus.mEpoch;
          mKnownOwner = aAgent;
        }
        if (!WitnessesReady(*slot)) {
          ProposeLiveWitnesses(aAgent, slot);
        }
      }
    }
    ExecuteBilling(aAgent, TickBilling(agent.mBilling, mNowMs));
    ScheduleAtAgent(aAgent, 25, [this, aAgent] { RunTimer(aAgent); });
  }

  void ProposeLiveWitnesses(int aAgent, Slot* aSlot)
  {
    std::vector<AgentName> others;
    for (int i = 1; i < kAgentCount; ++i) {
      const SimulatedAgent& other = mAgents[(aAgent + i) % kAgentCount];
      if (other.mAlive && mNowMs >= other.mPausedUntilMs) {
        others.push_back(other.mName);
      }
    }
    if (others.size() >= 2) {
      ApplyEvent(aAgent, aSlot, [&](Slot& aState) {
        return ProposeWitnesses(aState, { others[0], others[1] }, mNowMs);
      });
    }
  }

  // Renews the agent's lease, or takes the slot over when its lease is free.
  void RenewOrAcquireLease(int aAgent)
  {
    SimulatedAgent& agent = mAgents[aAgent];
    TimeMs sent = mNowMs;
    std::int64_t incarnation = agent.mName.mIncarnation;
    auto held = std::make_shared<bool>(false);
    auto status = std::make_shared<std::optional<SlotStatus>>();
    if (agent.mSlot || !agent.mLeaseRequestInFlight) {
      agent.mLeaseRequestInFlight = true;
      bool ownsSlot = agent.mSlot != nullptr;
      CallStore(
        aAgent,
        false,
        [this, aAgent, incarnation, held, status, ownsSlot] {
          bool holdsLease =
            mLeaseOwner == aAgent && mLeaseIncarnation == incarnation;
          bool mayHold =
            !ownsSlot || !mStatus || mStatus->mOwner == mAgents[aAgent].mName;
          *held = (holdsLease && ownsSlot && mayHold) ||
                  (mLeaseEndMs <= mNowMs && mayHold);
          if (*held) {
            mLeaseOwner = aAgent;
            mLeaseIncarnation = incarnation;
            mLeaseEndMs = mNowMs + 5000;
          }
          *status = mStatus;
        },
        [this, aAgent, sent, held, status, ownsSlot](bool aReached) {
          SimulatedAgent& self = mAgents[aAgent];
          self.mLeaseRequestInFlight = false;
          if (!aReached || !*held) {
            return;
          }
          if (ownsSlot && self.mSlot) {
            OnLeaseRenewed(*self.mSlot, sent);
          } else if (!ownsSlot) {
            self.mSlot = std::make_unique<Slot>(MakeSlot(
              self.mName, mOptions.mRecord, kStartUnixMs + mNowMs, mNowMs));
            self.mStoreReachable = true;
            OnLeaseRenewed(*self.mSlot, sent);
            ApplyEvent(aAgent, self.mSlot.get(), [&](Slot& aState) {
              return TakeOver(aState, *status, mNowMs);
            });
          }
        });
    }
    ScheduleAtAgent(
      aAgent, 400, [this, aAgent] { RenewOrAcquireLease(aAgent); });
  }

  // Probes whether the store responds and reports changes to the record.
  void ProbeStore(int aAgent)
  {
    CallStore(
      aAgent,
      false,
      [] {},
      [this, aAgent](bool aReached) {
        SimulatedAgent& agent = mAgents[aAgent];
        bool changed = aReached != agent.mStoreReachable;
        agent.mStoreReachable = aReached;
        if (agent.mSlot && changed) {
          ApplyEvent(aAgent, agent.mSlot.get(), [&](Slot& aState) {
            return aReached ? OnStoreReachable(aState, mNowMs)
                            : OnStoreUnreachable(aState, mNowMs);
          });
        }
        ScheduleAtAgent(aAgent, 50, [this, aAgent] { ProbeStore(aAgent); });
      });
  }

  void SendCall(const std::string& aKey,
                std::uint64_t aFingerprint,
                int aRecipient)
  {
    if (aRecipient < 0) {
      return;
    }
    KeyedCall call{ .mId = mNextCall++,
                    .mCustomer = "bengal",
                    .mKey = aKey,
                    .mFingerprint = aFingerprint,
                    .mRequestId = "request-" + aKey };
    mCalls[call.mId] = call;
    std::int64_t incarnation = mAgents[aRecipient].mName.mIncarnation;
    ScheduleAtAgent(aRecipient, 1, [this, aRecipient, call, incarnation] {
      if (call.mKey == "key-0") {
        InjectFaultsAt(InjectionPoint::BeforeClaim, aRecipient);
      }
      RunInProcess(aRecipient, incarnation, [this, aRecipient, call] {
        Slot* slot = mAgents[aRecipient].mSlot.get();
        if (slot != nullptr) {
          ApplyEvent(aRecipient, slot, [&](Slot& aState) {
            return OnCallArrived(aState, call, mNowMs);
          });
          ScheduleAtAgent(aRecipient, 3000, [this, aRecipient, slot, call] {
            ApplyEvent(aRecipient, slot, [&](Slot& aState) {
              return OnCallCancelled(aState, call.mId, mNowMs);
            });
          });
        }
      });
    });
  }

  // A caller that retries without backoff. Some calls also go to another agent
  // that holds the slot, as from an entry with stale routing.
  void RunCaller(const std::string& aKey, TimeMs aUntilMs)
  {
    if (mNowMs > aUntilMs) {
      return;
    }
    int other = static_cast<int>(mRandom() % kAgentCount);
    bool alsoToOther = mRandom() % 3 == 0 && mAgents[other].mSlot;
    SendCall(aKey, aKey == "key-1" && mRandom() % 4 == 0 ? 9 : 1, mKnownOwner);
    if (alsoToOther) {
      SendCall(aKey, 1, other);
    }
    TimeMs pause = mServedKeys.contains(aKey) ? 5000 : 400 + mRandom() % 200;
    Schedule(mNowMs + pause,
             [this, aKey, aUntilMs] { RunCaller(aKey, aUntilMs); });
  }

  void InjectRandomFault()
  {
    auto fault = static_cast<Fault>(mRandom() % kFaultCount);
    int target =
      mRandom() % 2 ? mKnownOwner : static_cast<int>(mRandom() % kAgentCount);
    if (target >= 0 && mAgents[target].mAlive) {
      ++mHistory.mInjectedCount;
      InjectFault(fault, target);
    }
  }
};

} // namespace

History
RunSimulation(const SimulationOptions& aOptions)
{
  auto simulation = std::make_unique<RecordSimulation>(aOptions);
  RecordSimulation& sim = *simulation;
  sim.mInjected.resize(aOptions.mInjections.size());
  sim.mEntryBilling = MakeBilling("entry-1", BillingOptions{});
  for (int i = 0; i < kAgentCount; ++i) {
    sim.StartProcess(i);
  }
  for (int i = 0; i < 8; ++i) {
    // Faults target key-0; the other keys are sent before, during and after.
    TimeMs at = i == 0 ? 1500 : 1100 + i * i * 160;
    sim.Schedule(at, [&sim, i] {
      sim.RunCaller("key-" + std::to_string(i), kEndMs - 3000);
    });
  }
  sim.Schedule(kEndMs - 6000,
               [&sim] { sim.RunCaller("fresh", kEndMs - 3000); });
  for (int i = 0; i < aOptions.mRandomFaults; ++i) {
    sim.Schedule(1000 + static_cast<TimeMs>(sim.mRandom() % 20000),
                 [&sim] { sim.InjectRandomFault(); });
  }
  for (TimeMs at = 0; at < kEndMs; at += 250) {
    sim.Schedule(at, [&sim] {
      sim.ExecuteBilling(-1, TickBilling(sim.mEntryBilling, sim.mNowMs));
    });
  }
  while (!sim.mEvents.empty() && sim.mEvents.top().mDueMs <= kEndMs) {
    auto event = sim.mEvents.top();
    sim.mEvents.pop();
    sim.mNowMs = event.mDueMs;
    event.mHandler();
  }
  sim.mHistory.mIncomplete = sim.mStatus && sim.mStatus->mIncompleteUntilMs > 0;
  return std::move(sim.mHistory);
}

} // namespace savory::test
