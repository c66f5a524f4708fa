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

// A store that takes longer than this counts as unreachable: a claim would
// wait as long, and the lease would soon be lost.
constexpr TimeMs kStoreTimeoutMs = 1000;

// One lost answer is no outage; two calls without an answer in between are.
constexpr int kOutageFailures = 2;

// A slot beyond the agent's share is taken when nobody else wants it for this
// time. After a start and after an outage, an agent waits as long before it
// takes any, so that others register and former owners bind their leases.
constexpr TimeMs kFreeSlotWaitMs = 2000;
constexpr TimeMs kStartWaitMs = 1000;

// The number of a text that consists of digits only.
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

// Ends questions to witnesses and calls while every member is still there.
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
  std::vector<OwnedSlot> owned;
  for (const auto& [number, held] : mHeldSlots) {
    if (IsServing(held->mSlot)) {
      owned.push_back({ number, held->mSlot.mStatus.mEpoch });
    }
  }
  return owned;
}

nlohmann::json
Slots::State() const
{
  nlohmann::json slots = nlohmann::json::array();
  for (const auto& [number, held] : mHeldSlots) {
    const Slot& slot = held->mSlot;
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

// Reads the status and the lease of every slot and the registered agents, in
// one call and as of one revision. The same call probes the store.
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

// Counts failures in a row. A first one is checked at once by another call.
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
  auto all = mHeldSlots;
  for (const auto& [number, held] : all) {
    Perform(held,
            aReachable ? OnStoreReachable(held->mSlot, now)
                       : OnStoreUnreachable(held->mSlot, now));
    if (!aReachable && WitnessesReady(held->mSlot)) {
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
    bool isLease = name.ends_with("/lease");
    auto number = ParseSlotNumber(name.substr(0, name.find('/')));
    if (!number) {
      continue;
    }
    StoreSlotState& slot = stored[*number];
    if (isLease) {
      slot.mLeaseId = entry.mValue;
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

// Makes the agent known to the others of the service for as long as its lease
// lasts.
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
  // Agents begin at different slots, so that few of them lose a race.
  int first =
    static_cast<int>(Hash64(mSelf.mHost) % static_cast<std::uint64_t>(count));
  for (int i = 0; i < count; ++i) {
    int number = (first + i) % count;
    const StoreSlotState& stored = aStored[number];
    if (!stored.mLeaseId.empty() || stored.mUnreadable ||
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
  auto held = std::make_shared<HeldSlot>();
  held->mNumber = aSlot;
  held->mSlot = MakeSlot(mSelf, RecordOptions(), WallClockMs(), now);
  held->mRevision = aStored.mRevision;
  mHeldSlots[aSlot] = held;
  mFreeSinceMs.erase(aSlot);
  Perform(held, TakeOver(held->mSlot, aStored.mStatus, now));
}

// Compares the slots held with what the store has.
void
Slots::ReconcileHeldSlots(const std::map<int, StoreSlotState>& aStored)
{
  auto all = mHeldSlots;
  for (const auto& [number, held] : all) {
    Slot& slot = held->mSlot;
    auto found = aStored.find(number);
    if (slot.mPhase == SlotPhase::TakingOver || found == aStored.end() ||
        !found->second.mStatus) {
      continue;
    }
    TimeMs now = MonotonicMs();
    // 1. Another agent has taken the slot over. That is what a witness says
    // by refusing an older epoch, too.
    if (found->second.mStatus->mEpoch > slot.mStatus.mEpoch) {
      Perform(held,
              IsServing(slot) ? OnWitnessRefusal(slot, 0, now)
                              : Release(slot, false, now));
      continue;
    }
    // 2. The lease key went with an earlier lease, or its write was lost.
    if (!held->mLeaseBound && mLeaseId != 0) {
      if (found->second.mLeaseId == LeaseValue()) {
        held->mLeaseBound = true;
        OnLeaseRenewed(slot, mLeaseSentMs);
      } else if (found->second.mLeaseId.empty()) {
        BindLease(held);
      }
    }
    // 3. Witnesses for the next outage.
    RecordActions actions;
    ChooseWitnesses(*held, actions);
    Perform(held, actions);
  }
}

// Proposes two other agents unless both present witnesses still live.
void
Slots::ChooseWitnesses(HeldSlot& aHeld, RecordActions& aActions)
{
  const auto& present = aHeld.mSlot.mStatus.mWitnesses;
  auto serves = [&](std::size_t aIndex) {
    const AgentName& agent = present[aIndex];
    auto found = mRegisteredAgents.find(agent.mHost);
    return found != mRegisteredAgents.end() &&
           found->second == agent.mIncarnation && agent.mHost != mSelf.mHost &&
           !aHeld.mSlot.mWitnessStates.at(aIndex).mUnreachable;
  };
  AgentName lost;
  if (present.size() == 2) {
    if (serves(0) && serves(1)) {
      return;
    }
    // Its registration lasts for up to the 5 s of its lease.
    lost = serves(0) ? present[1] : present[0];
  }
  std::vector<std::pair<std::uint64_t, AgentName>> ranked;
  for (const auto& [host, incarnation] : mRegisteredAgents) {
    auto listed = mListedHosts.find(host);
    bool leaving = listed != mListedHosts.end() && !listed->second;
    AgentName agent{ host, incarnation };
    if (host != mSelf.mHost && agent != lost && !leaving) {
      auto rank = Hash64(host, static_cast<std::uint64_t>(aHeld.mNumber));
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
    aHeld.mSlot, { ranked[0].second, ranked[1].second }, MonotonicMs());
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
      for (const auto& [number, held] : mHeldSlots) {
        if (held->mLeaseBound) {
          OnLeaseRenewed(held->mSlot, sent);
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
      for (const auto& [number, held] : mHeldSlots) {
        BindLease(held);
      }
    });
}

// The store has ended the lease with its keys, so that any agent may take the
// slots over. They are kept as long as none has.
void
Slots::OnLeaseLost()
{
  mLeaseId = 0;
  for (const auto& [number, held] : mHeldSlots) {
    held->mLeaseBound = false;
  }
  GrantLease();
}

// Binds a held slot to the agent's lease, unless its status changed or another
// lease holds it.
void
Slots::BindLease(const HeldSlotPtr& aHeld)
{
  if (mLeaseId == 0 || aHeld->mSlot.mPhase == SlotPhase::TakingOver) {
    return;
  }
  std::int64_t lease = mLeaseId;
  mStore.Commit(
    { .mConditions = { { StatusKey(aHeld->mNumber), aHeld->mRevision },
                       { LeaseKey(aHeld->mNumber), 0 } },
      .mPuts = { { LeaseKey(aHeld->mNumber), LeaseValue(), lease } },
      .mDeletes = {} },
    [this, aHeld, lease](const tl::expected<StoreCommit, StoreError>& aCommit) {
      OnStoreCall(aCommit.has_value());
      if (aCommit && aCommit->mSucceeded && lease == mLeaseId) {
        aHeld->mLeaseBound = true;
        OnLeaseRenewed(aHeld->mSlot, mLeaseSentMs);
      }
    });
}

void
Slots::ReleaseAll()
{
  auto all = mHeldSlots;
  for (const auto& [number, held] : all) {
    Perform(held, Release(held->mSlot, false, MonotonicMs()));
  }
}

void
Slots::SetEligible(bool aWanted)
{
  if (mEligible == aWanted) {
    return;
  }
  mEligible = aWanted;
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
  HeldSlotPtr held = found->second;
  aCall.mId = ++mLastCallId;
  mCalls[aCall.mId] = { held, std::move(aHandlers) };
  Perform(held, OnCallArrived(held->mSlot, aCall, MonotonicMs()));
  return aCall.mId;
}

void
Slots::Cancel(CallId aCall)
{
  auto found = mCalls.find(aCall);
  if (found != mCalls.end()) {
    HeldSlotPtr held = found->second.mHeldSlot;
    Perform(held, OnCallCancelled(held->mSlot, aCall, MonotonicMs()));
  }
}

void
Slots::OnBackendResult(CallId aCall, const HttpResult& aResult)
{
  auto found = mCalls.find(aCall);
  if (found == mCalls.end()) {
    return;
  }
  HeldSlotPtr held = found->second.mHeldSlot;
  found->second.mRunning = false;
  TimeMs now = MonotonicMs();
  if (aResult) {
    Outcome outcome{ .mStatus = aResult->mStatus,
                     .mHeaders = { { "Content-Type",
                                     std::string(HeaderValue(
                                       aResult->mHeaders, "content-type")) } },
                     .mBody = aResult->mBody };
    Perform(held, OnBackendAnswer(held->mSlot, aCall, std::move(outcome), now));
  } else if (aResult.error() == HttpErrorCode::NotConnected) {
    Perform(held, OnBackendNotReached(held->mSlot, aCall, now));
  } else {
    Perform(held, OnBackendConnectionLost(held->mSlot, aCall, now));
  }
  found = mCalls.find(aCall);
  if (found != mCalls.end() && found->second.mAnswered) {
    mCalls.erase(found);
  }
}

} // namespace savory
