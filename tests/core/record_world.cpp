#include "record_world.h"

#include "record_scene.h"

#include <nlohmann/json.hpp>

namespace savory::test {

namespace {

struct World : Scene
{
  using Scene::Scene;

  void Start(int aAgent) override
  {
    Agent& agent = mAgents[aAgent];
    std::int64_t incarnation = agent.mName.mIncarnation + 1;
    agent.mName = { "agent-" + std::to_string(aAgent), incarnation };
    agent.mAlive = true;
    agent.mPausedUntilMs = 0;
    agent.mSlot.reset();
    agent.mOld.clear();
    agent.mWitness = Witness{ .mSelf = agent.mName,
                              .mClaims = {},
                              .mFence = mOptions.mWitnessFence };
    agent.mStoreSeen = true;
    agent.mTaking = false;
    agent.mBilling =
      MakeBilling(agent.mName.mHost + "-" + std::to_string(incarnation),
                  BillingOptions{ .mHoldMs = 10000 });
    Loop(aAgent);
    Later(aAgent, 1 + aAgent * 37, [this, aAgent] { Lease(aAgent); });
    Later(aAgent, 5, [this, aAgent] { Probe(aAgent); });
  }

  // Applies an event function to an agent's slot and carries out the actions.
  template<class Event>
  void Do(int aAgent, Slot* aSlot, Event aEvent)
  {
    Carry(aAgent, aSlot, std::make_shared<RecordActions>(aEvent(*aSlot)), 0);
  }

  // Carries out actions in order; a process may die or be paused in between.
  void Carry(int aAgent,
             Slot* aSlot,
             const std::shared_ptr<RecordActions>& aActions,
             std::size_t aFrom)
  {
    for (std::size_t i = aFrom; i < aActions->size(); ++i) {
      if (auto* dispatch = std::get_if<DispatchCall>(&(*aActions)[i])) {
        if (dispatch->mClaim.mKey == "key-0") {
          StrikeAt(Step::BeforeDispatch, aAgent);
        }
        TimeMs decided = mNowMs;
        std::int64_t incarnation = mAgents[aAgent].mName.mIncarnation;
        In(aAgent, incarnation, [this, aAgent, aSlot, aActions, i, decided] {
          Dispatch(
            aAgent, aSlot, std::get<DispatchCall>((*aActions)[i]), decided);
          Carry(aAgent, aSlot, aActions, i + 1);
        });
        return;
      }
      std::visit([&](const auto& aAction) { Run(aAgent, aSlot, aAction); },
                 (*aActions)[i]);
    }
  }

  void Run(int, Slot*, const DispatchCall&) {}
  void Run(int, Slot*, const SlotLeft&) {}
  void Run(int aAgent, Slot* aSlot, const WriteStatus& aWrite)
  {
    auto answer = std::make_shared<StoreAnswer>();
    auto found = std::make_shared<std::optional<SlotStatus>>();
    Store(
      aAgent,
      true,
      [this, aWrite, answer, found] {
        *found = mStatus;
        *answer = StoreAnswer::Conflict;
        if (mStatus == aWrite.mExpected) {
          mStatus = *ParseSlotStatus(ToJson(aWrite.mNew).dump());
          *answer = StoreAnswer::Written;
        }
      },
      [this, aAgent, aSlot, answer, found](bool aReached) {
        Do(aAgent, aSlot, [&](Slot& aState) {
          return StatusAnswered(
            aState, aReached ? *answer : StoreAnswer::Lost, *found, mNowMs);
        });
      });
  }
  void Run(int aAgent, Slot* aSlot, const WriteBatch& aWrite)
  {
    auto answer = std::make_shared<StoreAnswer>();
    auto batch = ParseRecordBatch(aWrite.mValue);
    bool claims = false;
    bool ends = false;
    for (const auto& item : batch->mItems) {
      bool target = item.mClaim.mKey == "key-0";
      claims = claims || (target && item.mKind == RecordItemKind::Claim);
      ends = ends || (target && item.mKind == RecordItemKind::Outcome);
    }
    Store(
      aAgent,
      true,
      [this, aAgent, aWrite, answer, claims, ends] {
        auto id = std::pair(aWrite.mEpoch, aWrite.mSequence);
        if (aWrite.mConditional &&
            (!mStatus || mStatus->mEpoch != aWrite.mEpoch)) {
          *answer = StoreAnswer::Conflict;
        } else if (mBatches.contains(id)) {
          *answer = StoreAnswer::Lost;
        } else {
          mBatches[id] = aWrite.mValue;
          *answer = StoreAnswer::Written;
          if (claims) {
            StrikeAt(Step::AfterClaim, aAgent);
          }
          if (ends) {
            StrikeAt(Step::AfterOutcome, aAgent);
          }
        }
      },
      [this, aAgent, aSlot, answer, aWrite](bool aReached) {
        Do(aAgent, aSlot, [&](Slot& aState) {
          return BatchAnswered(aState,
                               aWrite.mSequence,
                               aReached ? *answer : StoreAnswer::Lost,
                               mNowMs);
        });
      });
  }
  void Run(int aAgent, Slot* aSlot, const ReadBatch& aRead)
  {
    auto value = std::make_shared<std::optional<std::string>>();
    Store(
      aAgent,
      false,
      [this, aRead, value] {
        auto found = mBatches.find({ aRead.mEpoch, aRead.mSequence });
        if (found != mBatches.end()) {
          *value = found->second;
        }
      },
      [this, aAgent, aSlot, aRead, value](bool aReached) {
        Do(aAgent, aSlot, [&](Slot& aState) {
          return BatchReadBack(
            aState, aRead.mSequence, aReached, *value, mNowMs);
        });
      });
  }
  void Run(int aAgent, Slot* aSlot, const ReadRecord&)
  {
    auto values = std::make_shared<std::vector<std::string>>();
    Store(
      aAgent,
      false,
      [this, values] {
        for (const auto& [id, value] : mBatches) {
          values->push_back(value);
        }
      },
      [this, aAgent, aSlot, values](bool aReached) {
        Do(aAgent, aSlot, [&](Slot& aState) {
          return RecordRead(
            aState, aReached ? std::optional(*values) : std::nullopt, mNowMs);
        });
      });
  }
  void Run(int, Slot*, const DeleteBatch& aDelete)
  {
    mBatches.erase({ aDelete.mEpoch, aDelete.mSequence });
  }
  void Run(int aAgent, Slot* aSlot, const SendClaims& aMessage)
  {
    auto answered = std::make_shared<bool>(false);
    auto lost = [this, aAgent, aSlot, aMessage, answered] {
      if (!*answered) {
        *answered = true;
        Do(aAgent, aSlot, [&](Slot& aState) {
          return WitnessLost(aState, aMessage.mWitness, mNowMs);
        });
      }
    };
    int to = AgentOf(aMessage.mTo.mHost);
    Message(aAgent, to, [this, aAgent, aSlot, to, aMessage, answered, lost] {
      auto kept = KeepClaims(mAgents[to].mWitness, aMessage);
      bool target =
        std::any_of(aMessage.mClaims.begin(),
                    aMessage.mClaims.end(),
                    [](const Claim& aClaim) { return aClaim.mKey == "key-0"; });
      if (kept && target && aMessage.mWitness == 1) {
        StrikeAt(Step::AfterClaim, aAgent);
      }
      Message(
        to, aAgent, [this, aAgent, aSlot, aMessage, answered, kept, lost] {
          if (!kept && kept.error() != WitnessRefusal::OlderEpoch) {
            lost();
          } else if (!*answered) {
            *answered = true;
            Do(aAgent, aSlot, [&](Slot& aState) {
              return kept
                       ? WitnessAcked(
                           aState, aMessage.mWitness, aMessage.mRound, mNowMs)
                       : WitnessRefused(aState, aMessage.mWitness, mNowMs);
            });
          }
        });
    });
    Later(aAgent, kTimeoutMs, lost);
  }
  void Run(int aAgent, Slot* aSlot, const FetchClaims& aMessage)
  {
    auto answered = std::make_shared<bool>(false);
    auto failed = [this, aAgent, aSlot, aMessage, answered](bool aGone) {
      if (!*answered) {
        *answered = true;
        Do(aAgent, aSlot, [&](Slot& aState) {
          return ClaimsNotFetched(aState, aMessage.mWitness, aGone, mNowMs);
        });
      }
    };
    int to = AgentOf(aMessage.mFrom.mHost);
    Message(aAgent, to, [this, aAgent, aSlot, to, aMessage, answered, failed] {
      auto claims = HandOver(mAgents[to].mWitness, aMessage);
      Message(
        to, aAgent, [this, aAgent, aSlot, aMessage, answered, claims, failed] {
          if (!claims) {
            failed(claims.error() == WitnessRefusal::OtherIncarnation);
          } else if (!*answered) {
            *answered = true;
            Do(aAgent, aSlot, [&](Slot& aState) {
              return ClaimsFetched(aState, aMessage.mWitness, *claims, mNowMs);
            });
          }
        });
    });
    Later(aAgent, kTimeoutMs, [failed] { failed(false); });
  }
  void Run(int aAgent, Slot*, const DropClaims& aMessage)
  {
    int to = AgentOf(aMessage.mTo.mHost);
    Message(aAgent, to, [this, to, aMessage] {
      ForgetClaims(mAgents[to].mWitness, aMessage);
    });
  }
  void Run(int aAgent, Slot*, const AnswerCall& aAnswer)
  {
    auto call = mCalls.find(aAnswer.mCall);
    mHistory.mAnswers.push_back({ call->second.mKey,
                                  call->second.mFingerprint,
                                  aAnswer.mCall,
                                  mNowMs,
                                  aAnswer });
    if (aAnswer.mOutcome) {
      mServed.insert(call->second.mKey);
      if (!aAnswer.mReplayed) {
        // The entry holds the step before it completes the caller's answer.
        AddStep(mEntryBilling, BillOf(call->second, aAgent), mNowMs);
      }
    }
  }

  BillStep BillOf(const KeyedCall& aCall, int aAgent)
  {
    return { .mId = { aCall.mRequestId, 0, 0 },
             .mCustomer = aCall.mCustomer,
             .mService = "ledger",
             .mVersion = "",
             .mAgent = mAgents[aAgent].mName.mHost,
             .mCost = 1 };
  }

  int AgentOf(const std::string& aHost) { return aHost.back() - '0'; }

  void Dispatch(int aAgent,
                Slot* aSlot,
                const DispatchCall& aCall,
                TimeMs aDecided)
  {
    // 1. Not reached: nothing is sent.
    bool target = aCall.mClaim.mKey == "key-0";
    if (mRefuse && target) {
      mRefuse = false;
      Later(aAgent, 2, [this, aAgent, aSlot, aCall] {
        Do(aAgent, aSlot, [&](Slot& aState) {
          return BackendNotReached(aState, aCall.mCall, mNowMs);
        });
      });
      return;
    }
    // 2. The backend server runs the call, whatever becomes of the agent.
    std::int64_t incarnation = mAgents[aAgent].mName.mIncarnation;
    At(mNowMs + 1, [this, aAgent, aSlot, aCall, aDecided, target, incarnation] {
      std::string body = "run " + std::to_string(mHistory.mRuns.size());
      mHistory.mRuns.push_back({ aCall.mClaim.mKey,
                                 body,
                                 aCall.mClaim.mFingerprint,
                                 aCall.mCall,
                                 aDecided });
      if (target) {
        StrikeAt(Step::AfterDispatch, aAgent);
      }
      // 3. Its answer.
      bool breaks = mBreak && target;
      mBreak = mBreak && !breaks;
      At(mNowMs + 150,
         [this, aAgent, aSlot, aCall, body, target, breaks, incarnation] {
           In(aAgent,
              incarnation,
              [this, aAgent, aSlot, aCall, body, target, breaks, incarnation] {
                if (target) {
                  StrikeAt(Step::BeforeOutcome, aAgent);
                }
                In(aAgent,
                   incarnation,
                   [this, aAgent, aSlot, aCall, body, breaks] {
                     if (!breaks) {
                       AddStep(mAgents[aAgent].mBilling,
                               BillOf(mCalls.at(aCall.mCall), aAgent),
                               mNowMs);
                     }
                     Do(aAgent, aSlot, [&](Slot& aState) {
                       return breaks ? BackendBroke(aState, aCall.mCall, mNowMs)
                                     : BackendAnswered(
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

  void Bill(int aAgent, const BillingActions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* write = std::get_if<WriteBills>(&action)) {
        // The store's bills ignore cuts: only the record is under test there.
        bool written = !mStoreDown;
        if (written) {
          mHistory.mBills.push_back(write->mValue);
        }
        Billing& billing =
          aAgent < 0 ? mEntryBilling : mAgents[aAgent].mBilling;
        Bill(aAgent, OnBillsAnswer(billing, write->mSequence, written, mNowMs));
      } else {
        const auto& settled = std::get<SendSettled>(action);
        Agent& agent = mAgents[AgentOf(settled.mAgent)];
        if (agent.mAlive) {
          OnStepsSettled(agent.mBilling, settled.mSteps);
        }
      }
    }
  }

  // The agent's timer: what is due, reports to the entry, choice of witnesses.
  void Loop(int aAgent)
  {
    Agent& agent = mAgents[aAgent];
    Slot* slot = agent.mSlot.get();
    if (slot != nullptr) {
      auto due = NextDueMs(*slot);
      if (due && *due <= mNowMs) {
        Do(aAgent, slot, [&](Slot& aState) { return Tick(aState, mNowMs); });
      }
      if (slot->mPhase == SlotPhase::Lost ||
          slot->mPhase == SlotPhase::Released) {
        agent.mOld.push_back(std::move(agent.mSlot));
      } else if (IsServing(*slot)) {
        if (slot->mStatus.mEpoch > mKnownEpoch) {
          mKnownEpoch = slot->mStatus.mEpoch;
          mKnownOwner = aAgent;
        }
        if (!WitnessesReady(*slot)) {
          Propose(aAgent, slot);
        }
      }
    }
    Bill(aAgent, TickBilling(agent.mBilling, mNowMs));
    Later(aAgent, 25, [this, aAgent] { Loop(aAgent); });
  }

  void Propose(int aAgent, Slot* aSlot)
  {
    std::vector<AgentName> others;
    for (int i = 1; i < kAgents; ++i) {
      const Agent& other = mAgents[(aAgent + i) % kAgents];
      if (other.mAlive && mNowMs >= other.mPausedUntilMs) {
        others.push_back(other.mName);
      }
    }
    if (others.size() >= 2) {
      Do(aAgent, aSlot, [&](Slot& aState) {
        return ProposeWitnesses(aState, { others[0], others[1] }, mNowMs);
      });
    }
  }

  // Renews the agent's lease, or takes over when the slot has none.
  void Lease(int aAgent)
  {
    Agent& agent = mAgents[aAgent];
    TimeMs sent = mNowMs;
    std::int64_t incarnation = agent.mName.mIncarnation;
    auto held = std::make_shared<bool>(false);
    auto status = std::make_shared<std::optional<SlotStatus>>();
    if (agent.mSlot || !agent.mTaking) {
      agent.mTaking = true;
      bool owner = agent.mSlot != nullptr;
      Store(
        aAgent,
        false,
        [this, aAgent, incarnation, held, status, owner] {
          bool mine = mLeaseOwner == aAgent && mLeaseIncarnation == incarnation;
          bool epoch =
            !owner || !mStatus || mStatus->mOwner == mAgents[aAgent].mName;
          *held = (mine && owner && epoch) || (mLeaseEndMs <= mNowMs && epoch);
          if (*held) {
            mLeaseOwner = aAgent;
            mLeaseIncarnation = incarnation;
            mLeaseEndMs = mNowMs + 5000;
          }
          *status = mStatus;
        },
        [this, aAgent, sent, held, status, owner](bool aReached) {
          Agent& self = mAgents[aAgent];
          self.mTaking = false;
          if (!aReached || !*held) {
            return;
          }
          if (owner && self.mSlot) {
            LeaseRenewed(*self.mSlot, sent);
          } else if (!owner) {
            self.mSlot = std::make_unique<Slot>(
              MakeSlot(self.mName, mOptions.mRecord, kUnixMs + mNowMs, mNowMs));
            self.mStoreSeen = true;
            LeaseRenewed(*self.mSlot, sent);
            Do(aAgent, self.mSlot.get(), [&](Slot& aState) {
              return TakeOver(aState, *status, mNowMs);
            });
          }
        });
    }
    Later(aAgent, 400, [this, aAgent] { Lease(aAgent); });
  }

  // Watches whether the store responds, and whether lost witnesses are back.
  void Probe(int aAgent)
  {
    Store(
      aAgent,
      false,
      [] {},
      [this, aAgent](bool aReached) {
        Agent& agent = mAgents[aAgent];
        bool changed = aReached != agent.mStoreSeen;
        agent.mStoreSeen = aReached;
        if (agent.mSlot && changed) {
          Do(aAgent, agent.mSlot.get(), [&](Slot& aState) {
            return aReached ? StoreReachable(aState, mNowMs)
                            : StoreUnreachable(aState, mNowMs);
          });
        }
        Later(aAgent, 50, [this, aAgent] { Probe(aAgent); });
      });
  }

  void Send(const std::string& aKey, std::uint64_t aFingerprint, int aTo)
  {
    if (aTo < 0) {
      return;
    }
    KeyedCall call{ .mId = mNextCall++,
                    .mCustomer = "bengal",
                    .mKey = aKey,
                    .mFingerprint = aFingerprint,
                    .mRequestId = "request-" + aKey };
    mCalls[call.mId] = call;
    std::int64_t incarnation = mAgents[aTo].mName.mIncarnation;
    Later(aTo, 1, [this, aTo, call, incarnation] {
      if (call.mKey == "key-0") {
        StrikeAt(Step::BeforeClaim, aTo);
      }
      In(aTo, incarnation, [this, aTo, call] {
        Slot* slot = mAgents[aTo].mSlot.get();
        if (slot != nullptr) {
          Do(aTo, slot, [&](Slot& aState) {
            return CallArrived(aState, call, mNowMs);
          });
          Later(aTo, 3000, [this, aTo, slot, call] {
            Do(aTo, slot, [&](Slot& aState) {
              return CallCancelled(aState, call.mId, mNowMs);
            });
          });
        }
      });
    });
  }

  // A caller without backoff. Some repeats go to an agent that the entry
  // knew as the owner before.
  void Caller(const std::string& aKey, TimeMs aUntilMs)
  {
    if (mNowMs > aUntilMs) {
      return;
    }
    int other = static_cast<int>(mRandom() % kAgents);
    bool stale = mRandom() % 3 == 0 && mAgents[other].mSlot;
    Send(aKey, aKey == "key-1" && mRandom() % 4 == 0 ? 9 : 1, mKnownOwner);
    if (stale) {
      Send(aKey, 1, other);
    }
    TimeMs pause = mServed.contains(aKey) ? 5000 : 400 + mRandom() % 200;
    At(mNowMs + pause, [this, aKey, aUntilMs] { Caller(aKey, aUntilMs); });
  }

  void RandomStrike()
  {
    auto fault = static_cast<Fault>(mRandom() % kFaults);
    int target =
      mRandom() % 2 ? mKnownOwner : static_cast<int>(mRandom() % kAgents);
    if (target >= 0 && mAgents[target].mAlive) {
      ++mHistory.mStruck;
      Apply(fault, target);
    }
  }
};

} // namespace

History
RunWorld(const WorldOptions& aOptions)
{
  auto world = std::make_unique<World>(aOptions);
  World& w = *world;
  w.mStruck.resize(aOptions.mStrikes.size());
  w.mEntryBilling = MakeBilling("entry-1", BillingOptions{});
  for (int i = 0; i < kAgents; ++i) {
    w.Start(i);
  }
  for (int i = 0; i < 8; ++i) {
    // key-0 is struck; the others are sent before, during and after.
    TimeMs at = i == 0 ? 1500 : 1100 + i * i * 160;
    w.At(at, [&w, i] { w.Caller("key-" + std::to_string(i), kEndMs - 3000); });
  }
  w.At(kEndMs - 6000, [&w] { w.Caller("fresh", kEndMs - 3000); });
  for (int i = 0; i < aOptions.mRandomStrikes; ++i) {
    w.At(1000 + static_cast<TimeMs>(w.mRandom() % 20000),
         [&w] { w.RandomStrike(); });
  }
  for (TimeMs at = 0; at < kEndMs; at += 250) {
    w.At(at, [&w] { w.Bill(-1, TickBilling(w.mEntryBilling, w.mNowMs)); });
  }
  while (!w.mEvents.empty() && w.mEvents.top().mAtMs <= kEndMs) {
    auto event = w.mEvents.top();
    w.mEvents.pop();
    w.mNowMs = event.mAtMs;
    event.mRun();
  }
  w.mHistory.mIncomplete = w.mStatus && w.mStatus->mIncompleteUntilMs > 0;
  return std::move(w.mHistory);
}

} // namespace savory::test
