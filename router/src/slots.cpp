#include "slots.h"

#include "savory/core/identity.h"
#include "savory/net/http_server.h"
#include "savory/net/log.h"

#include <algorithm>

namespace savory {

namespace {

constexpr int kLeaseTtlSeconds = 5;
constexpr TimeMs kLeaseRenewIntervalMs = 1500;
constexpr TimeMs kPollIntervalMs = 500;
constexpr TimeMs kHostListPollIntervalMs = 2000;
constexpr TimeMs kPingIntervalMs = 1000;

// A store whose answer takes longer counts as unreachable: a claim would wait
// as long, and the lease would soon expire.
constexpr TimeMs kStoreTimeoutMs = 1000;

// Failed calls in a row that count as an outage; a single lost answer does not.
constexpr int kOutageFailures = 2;

// A slot beyond the agent's share is acquired when no other agent has done so
// for kFreeSlotWaitMs. An agent acquires none for kStartWaitMs after its start,
// and for kFreeSlotWaitMs after an outage, so that others register and former
// owners bind their leases.
constexpr TimeMs kFreeSlotWaitMs = 2000;
constexpr TimeMs kStartWaitMs = 1000;

// Parses a slot number of one to six digits.
std::optional<int>
ParseSlotNumber(std::string_view aText)
{
  if (aText.empty() || aText.size() > 6 ||
      !std::all_of(aText.begin(), aText.end(), [](char aChar) {
        return aChar >= '0' && aChar <= '9';
      })) {
    return std::nullopt;
  }
  return std::stoi(std::string(aText));
}

} // namespace

int
HashKeyToSlot(const Service& aService,
              const std::string& aCustomer,
              const std::string& aKey)
{
  auto slots = static_cast<std::uint64_t>(std::max(aService.mSlots, 1));
  return static_cast<int>(Hash64(aCustomer + '\0' + aKey) % slots);
}

Slots::Slots(Node& aNode, std::string aService)
  : mNode(aNode)
  , mService(std::move(aService))
  , mStore(aNode.mHttp, aNode.mSettings.mStore)
  , mSelf{ aNode.mSettings.mHost, aNode.mIncarnation }
{
}

// Ends queries to witnesses and calls while all members that their callbacks
// use still exist.
Slots::~Slots()
{
  mOnChanged = {};
  mHeldSlots.clear();
  for (auto& [host, peer] : mPeers) {
    if (auto connection = std::exchange(peer.mConnection, nullptr)) {
      connection->Close();
    }
  }
  mCalls.clear();
}

void
Slots::Start()
{
  mStarted = true;
  mAcquireAfterMs = MonotonicMs() + kStartWaitMs;
  mPollTimer = Timer::Every(mNode.mLoop, kPollIntervalMs, [this] { Poll(); });
  mHostsTimer =
    Timer::Every(mNode.mLoop, kHostListPollIntervalMs, [this] { PollHosts(); });
  mLeaseTimer =
    Timer::Every(mNode.mLoop, kLeaseRenewIntervalMs, [this] { RenewLease(); });
  mPingTimer =
    Timer::Every(mNode.mLoop, kPingIntervalMs, [this] { PingWitnesses(); });
  PollHosts();
  RenewLease();
  Poll();
}

std::string
Slots::StatusKey(int aSlot) const
{
  return "slot/" + mService + "/" + std::to_string(aSlot);
}

std::string
Slots::LeaseKey(int aSlot) const
{
  return StatusKey(aSlot) + "/lease";
}

std::string
Slots::RecordKey(int aSlot, std::int64_t aEpoch, std::int64_t aSequence) const
{
  return "rec/" + mService + "/" + std::to_string(aSlot) + "/" +
         std::to_string(aEpoch) + "/" + std::to_string(aSequence);
}

std::string
Slots::LeaseValue() const
{
  return mSelf.mHost + " " + std::to_string(mSelf.mIncarnation) + " " +
         std::to_string(mLeaseId);
}

int
Slots::SlotCount() const
{
  const Service* service =
    mNode.mConfig ? FindService(*mNode.mConfig, mService) : nullptr;
  return service ? service->mSlots : 0;
}

std::vector<OwnedSlot>
Slots::OwnedSlots() const
{
  std::vector<OwnedSlot> ownedSlots;
  for (const auto& [number, heldSlot] : mHeldSlots) {
    if (IsServing(heldSlot->mSlot)) {
      ownedSlots.push_back({ number, heldSlot->mSlot.mStatus.mEpoch });
    }
  }
  return ownedSlots;
}

nlohmann::json
Slots::State() const
{
  nlohmann::json slots = nlohmann::json::array();
  for (const auto& [number, heldSlot] : mHeldSlots) {
    const Slot& slot = heldSlot->mSlot;
    nlohmann::json witnesses = nlohmann::json::array();
    for (const auto& witness : slot.mStatus.mWitnesses) {
      witnesses.push_back(
        { { "host", witness.mHost }, { "incarnation", witness.mIncarnation } });
    }
    slots.push_back({ { "slot", number },
                      { "phase", ToName(kSlotPhaseNames, slot.mPhase) },
                      { "epoch", slot.mStatus.mEpoch },
                      { "complete", IsComplete(slot, MonotonicMs()) },
                      { "witnesses", witnesses },
                      { "witnesses_ready", WitnessesReady(slot) },
                      { "bytes", RecordBytes(slot) } });
  }
  return { { "store_reachable", mStoreReachable }, { "held", slots } };
}

// Reads the status and the lease of every slot and the registered agents in one
// call, as of one store revision. The call also probes the store.
void
Slots::Poll()
{
  TimeMs now = MonotonicMs();
  if (mPollInFlight) {
    if (now - mPollSentMs > kStoreTimeoutMs) {
      SetStoreReachable(false);
    }
    return;
  }
  mPollInFlight = true;
  mPollSentMs = now;
  mStore.ReadPrefix(
    "slot/" + mService + "/",
    [this](const tl::expected<std::vector<StoreEntry>, StoreError>& aEntries) {
      mPollInFlight = false;
      if (!aEntries) {
        OnStoreCall(false);
        return;
      }
      OnStoreCall(true);
      if (MonotonicMs() - mPollSentMs <= kStoreTimeoutMs) {
        SetStoreReachable(true);
      }
      if (mStoreReachable) {
        OnPolled(*aEntries);
      }
    });
}

// Counts failures in a row. Polls again at once after a failure that is no
// outage yet.
void
Slots::OnStoreCall(bool aReached)
{
  if (aReached) {
    mConsecutiveFailures = 0;
    return;
  }
  if (++mConsecutiveFailures >= kOutageFailures) {
    SetStoreReachable(false);
  } else {
    Poll();
  }
}

void
Slots::SetStoreReachable(bool aReachable)
{
  if (mStoreReachable == aReachable) {
    return;
  }
  mStoreReachable = aReachable;
  mFreeSinceMs.clear();
  LogEvent(aReachable ? Event::StoreUp : Event::StoreDown,
           { { "store", ToString(mNode.mSettings.mStore) } });
  TimeMs now = MonotonicMs();
  if (aReachable) {
    mAcquireAfterMs = now + kFreeSlotWaitMs;
    RenewLease();
  }
  auto heldSlots = mHeldSlots;
  for (const auto& [number, heldSlot] : heldSlots) {
    Perform(heldSlot,
            aReachable ? OnStoreReachable(heldSlot->mSlot, now)
                       : OnStoreUnreachable(heldSlot->mSlot, now));
    if (!aReachable && WitnessesReady(heldSlot->mSlot)) {
      LogEvent(Event::WitnessMode,
               { { "service", mService }, { "slot", std::to_string(number) } });
    }
  }
}

void
Slots::OnPolled(const std::vector<StoreEntry>& aEntries)
{
  std::string prefix = "slot/" + mService + "/";
  std::map<int, StoreSlotState> stored;
  std::map<std::string, std::int64_t> agents;
  for (const auto& entry : aEntries) {
    std::string_view name = std::string_view(entry.mKey).substr(prefix.size());
    if (name.starts_with("agent/")) {
      auto document = nlohmann::json::parse(entry.mValue, nullptr, false);
      if (!document.is_object() || !document.contains("incarnation") ||
          !document["incarnation"].is_number_integer()) {
        continue;
      }
      std::string host(name.substr(std::string_view("agent/").size()));
      agents[host] = document["incarnation"].get<std::int64_t>();
      auto inner = ParseEndpoint(document.value("inner", std::string()));
      if (inner && !mListedHosts.contains(host)) {
        mPeers[host].mAddress = *inner;
      }
      continue;
    }
    bool isLeaseKey = name.ends_with("/lease");
    auto number = ParseSlotNumber(name.substr(0, name.find('/')));
    if (!number) {
      continue;
    }
    StoreSlotState& slot = stored[*number];
    if (isLeaseKey) {
      slot.mLeaseValue = entry.mValue;
      continue;
    }
    slot.mRevision = entry.mModRevision;
    auto status = ParseSlotStatus(entry.mValue);
    slot.mUnreadable = !status;
    if (status) {
      slot.mStatus = *status;
    }
  }
  mRegisteredAgents = std::move(agents);
  auto self = mRegisteredAgents.find(mSelf.mHost);
  mRegistered =
    self != mRegisteredAgents.end() && self->second == mSelf.mIncarnation;
  if (!mRegistered && !mLeaving) {
    Register();
  }
  ReconcileHeldSlots(stored);
  AcquireFreeSlots(stored);
}

// Registers the agent with the other agents of the service for as long as its
// lease lasts.
void
Slots::Register()
{
  if (mLeaseId == 0) {
    return;
  }
  nlohmann::json value = { { "incarnation", mSelf.mIncarnation },
                           { "inner", ToString(mNode.mSettings.mInner) } };
  mStore.Commit({ .mConditions = {},
                  .mPuts = { { "slot/" + mService + "/agent/" + mSelf.mHost,
                               value.dump(),
                               mLeaseId } },
                  .mDeletes = {} },
                [this](const tl::expected<StoreCommit, StoreError>& aCommit) {
                  OnStoreCall(aCommit.has_value());
                });
}

void
Slots::AcquireFreeSlots(std::map<int, StoreSlotState>& aStored)
{
  TimeMs now = MonotonicMs();
  int count = SlotCount();
  if (mLeaving || !mEligible || !mRegistered || mLeaseId == 0 || count == 0 ||
      now < mAcquireAfterMs) {
    return;
  }
  auto agents =
    static_cast<int>(std::max<std::size_t>(mRegisteredAgents.size(), 1));
  int share = (count + agents - 1) / agents;
  // Agents start at different slots, so that they rarely race for one.
  int first =
    static_cast<int>(Hash64(mSelf.mHost) % static_cast<std::uint64_t>(count));
  for (int i = 0; i < count; ++i) {
    int number = (first + i) % count;
    const StoreSlotState& stored = aStored[number];
    if (!stored.mLeaseValue.empty() || stored.mUnreadable ||
        mHeldSlots.contains(number)) {
      mFreeSinceMs.erase(number);
      continue;
    }
    TimeMs since = mFreeSinceMs.try_emplace(number, now).first->second;
    if (static_cast<int>(mHeldSlots.size()) < share ||
        now - since >= kFreeSlotWaitMs) {
      AcquireSlot(number, stored);
    }
  }
}

void
Slots::AcquireSlot(int aSlot, const StoreSlotState& aStored)
{
  TimeMs now = MonotonicMs();
  auto heldSlot = std::make_shared<HeldSlot>();
  heldSlot->mNumber = aSlot;
  heldSlot->mSlot = MakeSlot(mSelf, RecordOptions(), WallClockMs(), now);
  heldSlot->mRevision = aStored.mRevision;
  mHeldSlots[aSlot] = heldSlot;
  mFreeSinceMs.erase(aSlot);
  Perform(heldSlot, TakeOver(heldSlot->mSlot, aStored.mStatus, now));
}

// Reconciles the held slots with their state in the store.
void
Slots::ReconcileHeldSlots(const std::map<int, StoreSlotState>& aStored)
{
  auto heldSlots = mHeldSlots;
  for (const auto& [number, heldSlot] : heldSlots) {
    Slot& slot = heldSlot->mSlot;
    auto found = aStored.find(number);
    if (slot.mPhase == SlotPhase::TakingOver || found == aStored.end() ||
        !found->second.mStatus) {
      continue;
    }
    TimeMs now = MonotonicMs();
    // 1. Another agent has taken the slot over. A witness's refusal of an older
    // epoch means the same.
    if (found->second.mStatus->mEpoch > slot.mStatus.mEpoch) {
      Perform(heldSlot,
              IsServing(slot) ? OnWitnessRefusal(slot, 0, now)
                              : Release(slot, false, now));
      continue;
    }
    // 2. The lease key expired with an earlier lease, or its write was lost.
    if (!heldSlot->mLeaseBound && mLeaseId != 0) {
      if (found->second.mLeaseValue == LeaseValue()) {
        heldSlot->mLeaseBound = true;
        OnLeaseRenewed(slot, mLeaseSentMs);
      } else if (found->second.mLeaseValue.empty()) {
        BindLease(heldSlot);
      }
    }
    // 3. Choose witnesses for the next outage.
    RecordActions actions;
    ChooseWitnesses(*heldSlot, actions);
    Perform(heldSlot, actions);
  }
}

// Proposes two other agents unless both present witnesses are live.
void
Slots::ChooseWitnesses(HeldSlot& aHeldSlot, RecordActions& aActions)
{
  const auto& present = aHeldSlot.mSlot.mStatus.mWitnesses;
  auto isLive = [&](std::size_t aIndex) {
    const AgentName& agent = present[aIndex];
    auto found = mRegisteredAgents.find(agent.mHost);
    return found != mRegisteredAgents.end() &&
           found->second == agent.mIncarnation && agent.mHost != mSelf.mHost &&
           !aHeldSlot.mSlot.mWitnessStates.at(aIndex).mUnreachable;
  };
  AgentName lost;
  if (present.size() == 2) {
    if (isLive(0) && isLive(1)) {
      return;
    }
    // A lost witness stays registered for up to the 5 s of its lease.
    lost = isLive(0) ? present[1] : present[0];
  }
  std::vector<std::pair<std::uint64_t, AgentName>> ranked;
  for (const auto& [host, incarnation] : mRegisteredAgents) {
    auto listed = mListedHosts.find(host);
    bool leaving = listed != mListedHosts.end() && !listed->second;
    AgentName agent{ host, incarnation };
    if (host != mSelf.mHost && agent != lost && !leaving) {
      auto rank = Hash64(host, static_cast<std::uint64_t>(aHeldSlot.mNumber));
      ranked.emplace_back(rank, agent);
    }
  }
  if (ranked.size() < 2) {
    return;
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  aActions = ProposeWitnesses(
    aHeldSlot.mSlot, { ranked[0].second, ranked[1].second }, MonotonicMs());
}

void
Slots::PollHosts()
{
  FetchHostList(
    mNode.mHttp,
    mNode.mSettings.mHosts,
    [this](const tl::expected<std::vector<Host>, HostListError>& aHosts) {
      if (!aHosts) {
        return;
      }
      mListedHosts.clear();
      for (const auto& host : *aHosts) {
        if (host.mRole == HostRole::Agent) {
          mListedHosts[host.mName] = host.mState == HostState::Live;
          mPeers[host.mName].mAddress = host.mInner;
        }
      }
      std::erase_if(mPeers, [this](const auto& aPeer) {
        return !mListedHosts.contains(aPeer.first) &&
               !mRegisteredAgents.contains(aPeer.first);
      });
    });
}

void
Slots::RenewLease()
{
  if (mLeaseId == 0) {
    GrantLease();
    return;
  }
  TimeMs sent = MonotonicMs();
  std::int64_t lease = mLeaseId;
  mStore.RenewLease(
    lease, [this, sent, lease](const tl::expected<bool, StoreError>& aRenewed) {
      OnStoreCall(aRenewed.has_value());
      if (!aRenewed || lease != mLeaseId) {
        return;
      }
      if (!*aRenewed) {
        OnLeaseLost();
        return;
      }
      mLeaseSentMs = std::max(mLeaseSentMs, sent);
      for (const auto& [number, heldSlot] : mHeldSlots) {
        if (heldSlot->mLeaseBound) {
          OnLeaseRenewed(heldSlot->mSlot, sent);
        }
      }
    });
}

void
Slots::GrantLease()
{
  if (mGrantInFlight || mLeaving) {
    return;
  }
  mGrantInFlight = true;
  TimeMs sent = MonotonicMs();
  mStore.GrantLease(
    kLeaseTtlSeconds,
    [this, sent](const tl::expected<std::int64_t, StoreError>& aLease) {
      mGrantInFlight = false;
      OnStoreCall(aLease.has_value());
      if (!aLease) {
        return;
      }
      mLeaseId = *aLease;
      mLeaseSentMs = sent;
      Register();
      for (const auto& [number, heldSlot] : mHeldSlots) {
        BindLease(heldSlot);
      }
    });
}

// The store has expired the lease and deleted its keys, so that any agent may
// take the slots over. This agent keeps them until one does.
void
Slots::OnLeaseLost()
{
  mLeaseId = 0;
  for (const auto& [number, heldSlot] : mHeldSlots) {
    heldSlot->mLeaseBound = false;
  }
  GrantLease();
}

// Binds a held slot to the agent's lease, unless its status has changed or
// another lease holds it.
void
Slots::BindLease(const HeldSlotPtr& aHeldSlot)
{
  if (mLeaseId == 0 || aHeldSlot->mSlot.mPhase == SlotPhase::TakingOver) {
    return;
  }
  std::int64_t lease = mLeaseId;
  mStore.Commit(
    { .mConditions = { { StatusKey(aHeldSlot->mNumber), aHeldSlot->mRevision },
                       { LeaseKey(aHeldSlot->mNumber), 0 } },
      .mPuts = { { LeaseKey(aHeldSlot->mNumber), LeaseValue(), lease } },
      .mDeletes = {} },
    [this, aHeldSlot, lease](
      const tl::expected<StoreCommit, StoreError>& aCommit) {
      OnStoreCall(aCommit.has_value());
      if (aCommit && aCommit->mSucceeded && lease == mLeaseId) {
        aHeldSlot->mLeaseBound = true;
        OnLeaseRenewed(aHeldSlot->mSlot, mLeaseSentMs);
      }
    });
}

void
Slots::ReleaseAll()
{
  auto heldSlots = mHeldSlots;
  for (const auto& [number, heldSlot] : heldSlots) {
    Perform(heldSlot, Release(heldSlot->mSlot, false, MonotonicMs()));
  }
}

void
Slots::SetEligible(bool aEligible)
{
  if (mEligible == aEligible) {
    return;
  }
  mEligible = aEligible;
  if (!mEligible) {
    ReleaseAll();
  }
}

void
Slots::StartLeaving()
{
  mLeaving = true;
  mStore.Commit(
    { .mConditions = {},
      .mPuts = {},
      .mDeletes = { "slot/" + mService + "/agent/" + mSelf.mHost } },
    [](const tl::expected<StoreCommit, StoreError>& /*aCommit*/) {});
  ReleaseAll();
}

CallId
Slots::SubmitCall(int aSlot, KeyedCall aCall, KeyedHandlers aHandlers)
{
  auto found = mHeldSlots.find(aSlot);
  if (found == mHeldSlots.end()) {
    return 0;
  }
  HeldSlotPtr heldSlot = found->second;
  aCall.mId = ++mLastCallId;
  mCalls[aCall.mId] = { heldSlot, std::move(aHandlers) };
  Perform(heldSlot, OnCallArrived(heldSlot->mSlot, aCall, MonotonicMs()));
  return aCall.mId;
}

void
Slots::Cancel(CallId aCall)
{
  auto found = mCalls.find(aCall);
  if (found != mCalls.end()) {
    HeldSlotPtr heldSlot = found->second.mHeldSlot;
    Perform(heldSlot, OnCallCancelled(heldSlot->mSlot, aCall, MonotonicMs()));
  }
}

void
Slots::OnBackendResult(CallId aCall, const HttpResult& aResult)
{
  auto found = mCalls.find(aCall);
  if (found == mCalls.end()) {
    return;
  }
  HeldSlotPtr heldSlot = found->second.mHeldSlot;
  found->second.mRunning = false;
  TimeMs now = MonotonicMs();
  if (aResult) {
    Outcome outcome{ .mStatus = aResult->mStatus,
                     .mHeaders = { { "Content-Type",
                                     std::string(HeaderValue(
                                       aResult->mHeaders, "content-type")) } },
                     .mBody = aResult->mBody };
    Perform(heldSlot,
            OnBackendAnswer(heldSlot->mSlot, aCall, std::move(outcome), now));
  } else if (aResult.error() == HttpErrorCode::NotConnected) {
    Perform(heldSlot, OnBackendNotReached(heldSlot->mSlot, aCall, now));
  } else {
    Perform(heldSlot, OnBackendConnectionLost(heldSlot->mSlot, aCall, now));
  }
  found = mCalls.find(aCall);
  if (found != mCalls.end() && found->second.mAnswered) {
    mCalls.erase(found);
  }
}

} // namespace savory
