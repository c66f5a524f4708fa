#include "peers.h"

#include "savory/net/log.h"
#include "savory/net/socket_address.h"
#include "savory/platform/base64.h"

#include <cmath>
#include <event2/event.h>
#include <event2/util.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace savory {

namespace {

using Json = nlohmann::json;

// Interval of peer messages. A rollback must be done within seconds, and each
// datagram between zones costs money.
constexpr TimeMs kSendIntervalMs = 300;

// Delay of the message that follows a long prefill, so that it covers further
// prompts. With more peers than kPeersAtMinBatchDelay it is longer, so that a
// host's traffic does not grow with the square of the fleet.
constexpr TimeMs kBatchDelayMs = 20;
constexpr int kPeersAtMinBatchDelay = 4;

// A peer without a message for this long is considered down.
constexpr TimeMs kPeerTimeoutMs = 2500;

// A peer that sent messages, but none for this long, is removed. Addresses from
// which none arrived yet stay.
constexpr TimeMs kPeerRemovalMs = 20000;

// Time limit for fetching the store's entries from a peer.
constexpr TimeMs kPullTimeoutMs = 1500;

// Largest datagram that is received; a longer one is truncated and cannot be
// decoded. It fits an unfragmented UDP packet of the loopback interface with
// some room; networks with a smaller MTU fragment it.
constexpr std::size_t kMaxDatagramBytes = 16 * 1024;

// A peer whose store revision is behind this host's by more than this is not
// accepted as coordinator: it may be cut off from the store.
constexpr std::int64_t kMaxCoordinatorLagRevisions = 60;

// Maximum number of quarantine suspects in one message.
constexpr std::size_t kMaxSuspectRows = 32;

Json
ToJson(const SuspectRow& aRow)
{
  Json crashes = Json::array();
  for (const Crash& crash : aRow.mCrashes) {
    crashes.push_back({ crash.mId, crash.mIsolated, crash.mCleared });
  }
  return { aRow.mFingerprint, aRow.mAgeMs, crashes };
}

SuspectRow
ToSuspectRow(const Json& aJson)
{
  SuspectRow row;
  row.mFingerprint = aJson.at(0).get<std::uint64_t>();
  row.mAgeMs = aJson.at(1).get<TimeMs>();
  for (const Json& crash : aJson.at(2)) {
    row.mCrashes.push_back({ crash.at(0).get<std::uint64_t>(),
                             crash.at(1).get<bool>(),
                             crash.at(2).get<bool>() });
  }
  return row;
}

} // namespace

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  Json shifts = Json::array();
  for (const auto& [service, row] : aMessage.mShifts) {
    shifts.push_back({ service,
                       row.mOrderRevision,
                       row.mOrderAgeMs,
                       row.mCounts.mGood,
                       row.mCounts.mFailed,
                       row.mCounts.mSlow,
                       row.mCounts.mBaselineInFlight });
  }
  Json suspects = Json::array();
  for (const SuspectRow& row : aMessage.mSuspects) {
    suspects.push_back(ToJson(row));
  }
  Json prefills = Json::object();
  for (const auto& [runner, row] : aMessage.mPrefills) {
    prefills[runner] = { row.mTotalMs, row.mPartKeys };
  }
  Json document{ { "h", aMessage.mHost },
                 { "a", aMessage.mAddress },
                 { "z", aMessage.mZone },
                 { "f", aMessage.mRelay },
                 { "r", aMessage.mStoreRevision },
                 { "l", aMessage.mLeaving },
                 { "u", aMessage.mReachesStore },
                 { "s", shifts },
                 { "q", suspects },
                 { "w", prefills },
                 { "k", aMessage.mLiveAddresses } };
  std::vector<std::uint8_t> bytes = Json::to_cbor(document);
  return { bytes.begin(), bytes.end() };
}

std::optional<PeerMessage>
DecodePeerMessage(std::string_view aBytes)
{
  Json document = Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  // The library reports missing fields and wrong types by exceptions.
  try {
    PeerMessage message;
    message.mHost = document.at("h").get<std::string>();
    message.mAddress = document.at("a").get<std::string>();
    message.mZone = document.at("z").get<std::string>();
    message.mRelay = document.at("f").get<bool>();
    message.mStoreRevision = document.at("r").get<std::int64_t>();
    message.mLeaving = document.at("l").get<bool>();
    message.mReachesStore = document.at("u").get<bool>();
    for (const Json& row : document.at("s")) {
      message.mShifts[row.at(0).get<std::string>()] = {
        row.at(1).get<std::int64_t>(),
        row.at(2).get<TimeMs>(),
        { row.at(3).get<std::int64_t>(),
          row.at(4).get<std::int64_t>(),
          row.at(5).get<std::int64_t>(),
          row.at(6).get<int>() }
      };
    }
    for (const Json& row : document.at("q")) {
      message.mSuspects.push_back(ToSuspectRow(row));
    }
    for (const auto& [runner, row] : document.at("w").items()) {
      message.mPrefills[runner] = {
        row.at(0).get<double>(), row.at(1).get<std::vector<std::uint64_t>>()
      };
    }
    message.mLiveAddresses = document.at("k").get<std::vector<std::string>>();
    return message;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string
FormatFleetEntries(const StoreWatcher& aWatcher)
{
  Json entries = Json::array();
  for (const auto& [key, entry] : aWatcher.Entries()) {
    entries.push_back({ { "key", key },
                        { "value", EncodeBase64(entry.mValue) },
                        { "revision", entry.mModRevision } });
  }
  return Json{ { "at", aWatcher.Revision() }, { "entries", entries } }.dump();
}

Peers::Peers(GatewayShared& aShared, StoreWatcher& aWatcher)
  : mShared(aShared)
  , mWatcher(aWatcher)
  , mFrontend(aShared.mLoop,
              [this](const IncomingRequest& aRequest,
                     const std::shared_ptr<CallerLink>& aCaller) {
                OnPeerRequest(aRequest, aCaller);
              })
{
  for (const Endpoint& seed : mShared.mSettings.mSeeds) {
    if (seed.mAddress != mShared.mSettings.mAddress) {
      mPeers[seed.mAddress];
    }
  }
}

Peers::~Peers()
{
  if (mEvent) {
    event_free(mEvent);
  }
  if (mSocket >= 0) {
    close(mSocket);
  }
}

bool
Peers::Start()
{
  const FleetSettings& settings = mShared.mSettings;
  if (settings.mPeers.mPort == 0 || settings.mPeerDatagramPort == 0) {
    return true;
  }
  if (mFrontend.Listen(settings.mPeers.mAddress, settings.mPeers.mPort) == 0) {
    return false;
  }
  mSocket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto localAddress =
    ParseSocketAddress(settings.mAddress, settings.mPeerDatagramPort);
  if (mSocket < 0 || !localAddress ||
      bind(mSocket,
           reinterpret_cast<sockaddr*>(&*localAddress),
           sizeof *localAddress) != 0) {
    return false;
  }
  mEvent = event_new(
    mShared.mLoop.Base(),
    mSocket,
    EV_READ | EV_PERSIST,
    [](evutil_socket_t, short, void* aSelf) {
      static_cast<Peers*>(aSelf)->Receive();
    },
    this);
  event_add(mEvent, nullptr);
  mShared.mOnLongPrefill = [this] { ScheduleSend(); };
  mSendTimer = Timer::Every(mShared.mLoop, kSendIntervalMs, [this] { Send(); });
  Send();
  return true;
}

int
Peers::LivePeerCount(TimeMs aNowMs) const
{
  int live = 0;
  for (const auto& [address, peer] : mPeers) {
    live += aNowMs - peer.mLastHeardMs < kPeerTimeoutMs;
  }
  return live;
}

bool
Peers::IsStoreServingPeers(TimeMs aNowMs) const
{
  for (const auto& [address, peer] : mPeers) {
    if (aNowMs - peer.mLastHeardMs < kPeerTimeoutMs && peer.mReachesStore) {
      return true;
    }
  }
  return false;
}

bool
Peers::IsCoordinator(TimeMs aNowMs) const
{
  if (!mWatcher.IsReachable() || mLeaving) {
    return false;
  }
  for (const auto& [address, peer] : mPeers) {
    if (aNowMs - peer.mLastHeardMs < kPeerTimeoutMs && !peer.mLeaving &&
        peer.mStoreRevision >=
          mWatcher.Revision() - kMaxCoordinatorLagRevisions &&
        peer.mHost < mShared.mSettings.mHost) {
      return false;
    }
  }
  return true;
}

int
Peers::PeerCount() const
{
  return static_cast<int>(mPeers.size());
}

// Schedules a message ahead of the next regular one. It also covers the prompts
// sent until then.
void
Peers::ScheduleSend()
{
  if (!mBatchTimer.IsSet()) {
    TimeMs delay =
      std::clamp(kBatchDelayMs * PeerCount() / kPeersAtMinBatchDelay,
                 kBatchDelayMs,
                 kSendIntervalMs);
    mBatchTimer = Timer::After(mShared.mLoop, delay, [this] { Send(); });
  }
}

void
Peers::Send()
{
  TimeMs now = mShared.mLoop.NowMs();
  GatewayState& state = mShared.mState;
  state.mRunners.mEntryHosts = std::max(
    1 + LivePeerCount(now), static_cast<int>(mShared.mSettings.mSeeds.size()));
  mWatcher.SetWatcherCount(state.mRunners.mEntryHosts);
  PeerMessage message;
  message.mHost = mShared.mSettings.mHost;
  message.mAddress = mShared.mSettings.mAddress;
  message.mZone = mShared.mSettings.mZone;
  message.mStoreRevision = mWatcher.Revision();
  message.mLeaving = mLeaving;
  message.mReachesStore = mWatcher.IsReachable();
  for (auto& [service, shift] : state.mShifts.mShifts) {
    if (shift.mOrder.mTarget.empty() ||
        (shift.mProgress &&
         shift.mProgress->mState != ShiftState::InProgress)) {
      continue;
    }
    shift.mLocalCounts.mBaselineInFlight = 0;
    for (const auto& exchange : mShared.mExchanges) {
      shift.mLocalCounts.mBaselineInFlight +=
        exchange->RunsOtherVersion(service, shift.mOrder.mTarget);
    }
    message.mShifts[service] = { shift.mOrder.mRevision,
                                 now - shift.mOrderSeenMs,
                                 shift.mLocalCounts };
  }
  // The message holds totals, so that the next message that lists the runner
  // makes up for a lost one.
  for (auto& [id, runner] : state.mRunners.mRunners) {
    double total = std::round(runner.mSentPrefillMs);
    double& published = mPublishedPrefillMs[id];
    if (total != published || !runner.mUnpublishedParts.empty()) {
      message.mPrefills[id] = { total,
                                std::exchange(runner.mUnpublishedParts, {}) };
    }
    published = total;
  }
  message.mSuspects = MakeSuspectRows(state.mQuarantine, now);
  if (message.mSuspects.size() > kMaxSuspectRows) {
    message.mSuspects.resize(kMaxSuspectRows);
  }
  for (const auto& [address, peer] : mPeers) {
    if (now - peer.mLastHeardMs < kPeerTimeoutMs) {
      message.mLiveAddresses.push_back(address);
    }
  }
  // Traffic between zones is expensive: of each other zone, one live host,
  // chosen at random, receives the message and relays it. Hosts that are not
  // live or whose zone is unknown receive it directly.
  std::map<std::string, std::vector<std::string>> otherZones;
  std::string bytes = EncodePeerMessage(message);
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone != message.mZone && !peer.mZone.empty() && !peer.mLeaving &&
        now - peer.mLastHeardMs < kPeerTimeoutMs) {
      otherZones[peer.mZone].push_back(address);
    } else {
      SendDatagram(address, bytes);
    }
  }
  message.mRelay = true;
  bytes = EncodePeerMessage(message);
  for (const auto& [zone, addresses] : otherZones) {
    std::uniform_int_distribution<std::size_t> uniform(0, addresses.size() - 1);
    SendDatagram(addresses[uniform(state.mRandom)], bytes);
  }
  std::erase_if(mPeers, [&](const auto& aRow) {
    return aRow.second.mLastHeardMs > 0 &&
           now - aRow.second.mLastHeardMs > kPeerRemovalMs;
  });
  PullIfBehind();
}

void
Peers::SendDatagram(const std::string& aAddress, const std::string& aBytes)
{
  // An address from a peer's message may be malformed.
  auto target =
    ParseSocketAddress(aAddress, mShared.mSettings.mPeerDatagramPort);
  if (!target) {
    return;
  }
  // Errors are ignored: the next message replaces one that was not sent.
  (void)sendto(mSocket,
               aBytes.data(),
               aBytes.size(),
               0,
               reinterpret_cast<sockaddr*>(&*target),
               sizeof *target);
}

// Forwards a message from another zone to the hosts of the local zone.
void
Peers::Relay(PeerMessage aMessage)
{
  aMessage.mRelay = false;
  std::string bytes = EncodePeerMessage(aMessage);
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone == mShared.mSettings.mZone && address != aMessage.mAddress) {
      SendDatagram(address, bytes);
    }
  }
}

void
Peers::Receive()
{
  std::string bytes(kMaxDatagramBytes, '\0');
  for (;;) {
    ssize_t size = recv(mSocket, bytes.data(), bytes.size(), 0);
    if (size < 0) {
      return;
    }
    auto message =
      DecodePeerMessage({ bytes.data(), static_cast<std::size_t>(size) });
    if (message && message->mAddress != mShared.mSettings.mAddress) {
      OnPeerMessage(*message);
      if (message->mRelay) {
        Relay(std::move(*message));
      }
    }
  }
}

void
Peers::OnPeerMessage(const PeerMessage& aMessage)
{
  TimeMs now = mShared.mLoop.NowMs();
  Peer& peer = mPeers[aMessage.mAddress];
  if (now - peer.mLastHeardMs >= kPeerTimeoutMs) {
    LogEvent(Event::PeerHeard,
             { { "peer", aMessage.mHost },
               { "revision", std::to_string(aMessage.mStoreRevision) } });
  }
  peer.mHost = aMessage.mHost;
  peer.mZone = aMessage.mZone;
  peer.mLastHeardMs = now;
  peer.mStoreRevision = aMessage.mStoreRevision;
  peer.mLeaving = aMessage.mLeaving;
  peer.mReachesStore = aMessage.mReachesStore;
  for (const std::string& address : aMessage.mLiveAddresses) {
    if (address != mShared.mSettings.mAddress) {
      mPeers.try_emplace(address);
    }
  }
  GatewayState& state = mShared.mState;
  for (const auto& [id, prefills] : aMessage.mPrefills) {
    auto found = state.mRunners.mRunners.find(id);
    if (found != state.mRunners.mRunners.end()) {
      MergePeerPrefill(found->second,
                       aMessage.mHost,
                       prefills.mTotalMs,
                       prefills.mPartKeys,
                       now);
    }
  }
  for (const auto& [service, row] : aMessage.mShifts) {
    auto found = state.mShifts.mShifts.find(service);
    if (found != state.mShifts.mShifts.end() &&
        found->second.mOrder.mRevision == row.mOrderRevision) {
      ApplyOrderAge(found->second, row.mOrderAgeMs, now);
      MergePeerCounts(found->second, aMessage.mHost, row.mCounts);
    }
  }
  if (!aMessage.mSuspects.empty()) {
    MergeSuspects(
      state.mQuarantine, state.mQuarantineOptions, aMessage.mSuspects, now);
  }
}

// Fetches the store's entries from the live peer with the newest revision while
// this host cannot reach the store and its own revision is older.
void
Peers::PullIfBehind()
{
  if (mWatcher.IsReachable() ||
      (mPullConnection && mPullConnection->IsBusy())) {
    return;
  }
  TimeMs now = mShared.mLoop.NowMs();
  const std::string* newestAddress = nullptr;
  std::int64_t newestRevision = mWatcher.Revision();
  for (const auto& [address, peer] : mPeers) {
    if (now - peer.mLastHeardMs < kPeerTimeoutMs &&
        peer.mStoreRevision > newestRevision) {
      newestRevision = peer.mStoreRevision;
      newestAddress = &address;
    }
  }
  if (!newestAddress) {
    return;
  }
  if (*newestAddress != mPullAddress || !mPullConnection) {
    mPullAddress = *newestAddress;
    mPullConnection = std::make_unique<FleetStoreConnection>(
      mShared.mLoop,
      Endpoint{ *newestAddress, mShared.mSettings.mPeers.mPort });
  }
  mPullConnection->Call(
    "GET",
    "/items",
    {},
    kPullTimeoutMs,
    [this](tl::expected<HttpResponse, StoreError> aResult) {
      if (!aResult || aResult->mStatus != 200) {
        LogEvent(Event::PeerPullFailed,
                 { { "peer", mPullAddress },
                   { "reason",
                     aResult ? "status " + std::to_string(aResult->mStatus)
                             : aResult.error().mReason } });
        return;
      }
      auto entries = ParseFleetEntries(aResult->mBody);
      if (!entries) {
        LogEvent(
          Event::PeerPullFailed,
          { { "peer", mPullAddress }, { "reason", entries.error().mReason } });
        return;
      }
      LogEvent(Event::PeerPulled,
               { { "peer", mPullAddress },
                 { "revision", std::to_string(entries->mRevision) } });
      mWatcher.MergePeerEntries(*entries);
    });
}

void
Peers::OnPeerRequest(const IncomingRequest& aRequest,
                     const std::shared_ptr<CallerLink>& aCaller)
{
  if (aRequest.mHead.mTarget != "/items" || !mWatcher.HasState()) {
    aCaller->Respond(404, {}, {});
    return;
  }
  aCaller->Respond(200,
                   { { "Content-Type", "application/json" } },
                   FormatFleetEntries(mWatcher));
}

} // namespace savory
