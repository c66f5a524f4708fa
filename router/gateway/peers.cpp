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

// How often a host tells the others; a roll-back has seconds, and each
// datagram between zones is priced.
constexpr TimeMs kBeaconPeriodMs = 300;

// How long work sent to runners waits for more before the others hear of it.
// With more peers than kFanoutAtOnce it waits longer, so that what a host sends
// does not grow with the square of the fleet.
constexpr TimeMs kSoonMs = 20;
constexpr int kFanoutAtOnce = 4;

// A host that was not heard for this long is taken to be down.
constexpr TimeMs kLiveMs = 2500;

// A host that was never heard or is long gone is told less often.
constexpr TimeMs kPeerPrefillTtlMs = 20000;

// A pull that takes longer is given up.
constexpr TimeMs kPullTimeoutMs = 1500;

// The largest datagram; it fits an unfragmented UDP packet of the loopback
// and of most networks with some room.
constexpr std::size_t kMaxDatagram = 16 * 1024;

// A host that knows this many changes less than this one is not trusted to
// drive: the store may turn it away.
constexpr std::int64_t kMaxDriverLag = 60;

// Suspects told at once.
constexpr std::size_t kMaxSuspectsTold = 32;

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
ToSuspect(const Json& aJson)
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
EncodeBeacon(const PeerBeacon& aBeacon)
{
  Json shifts = Json::array();
  for (const auto& [service, row] : aBeacon.mShifts) {
    shifts.push_back({ service,
                       row.mOrderRevision,
                       row.mOrderAgeMs,
                       row.mCounts.mGood,
                       row.mCounts.mFailed,
                       row.mCounts.mSlow,
                       row.mCounts.mBaselineInFlight });
  }
  Json suspects = Json::array();
  for (const SuspectRow& row : aBeacon.mSuspects) {
    suspects.push_back(ToJson(row));
  }
  Json reads = Json::object();
  for (const auto& [runner, row] : aBeacon.mReads) {
    reads[runner] = { row.mTotalMs, row.mParts };
  }
  Json document{ { "h", aBeacon.mHost },
                 { "a", aBeacon.mAddress },
                 { "z", aBeacon.mZone },
                 { "f", aBeacon.mRelay },
                 { "r", aBeacon.mAt },
                 { "l", aBeacon.mLeaving },
                 { "u", aBeacon.mReachesStore },
                 { "s", shifts },
                 { "q", suspects },
                 { "w", reads },
                 { "k", aBeacon.mKnown } };
  std::vector<std::uint8_t> bytes = Json::to_cbor(document);
  return { bytes.begin(), bytes.end() };
}

std::optional<PeerBeacon>
DecodeBeacon(std::string_view aBytes)
{
  Json document = Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  // The library reports missing fields and wrong types by exceptions.
  try {
    PeerBeacon beacon;
    beacon.mHost = document.at("h").get<std::string>();
    beacon.mAddress = document.at("a").get<std::string>();
    beacon.mZone = document.at("z").get<std::string>();
    beacon.mRelay = document.at("f").get<bool>();
    beacon.mAt = document.at("r").get<std::int64_t>();
    beacon.mLeaving = document.at("l").get<bool>();
    beacon.mReachesStore = document.at("u").get<bool>();
    for (const Json& row : document.at("s")) {
      beacon.mShifts[row.at(0).get<std::string>()] = {
        row.at(1).get<std::int64_t>(),
        row.at(2).get<TimeMs>(),
        { row.at(3).get<std::int64_t>(),
          row.at(4).get<std::int64_t>(),
          row.at(5).get<std::int64_t>(),
          row.at(6).get<int>() }
      };
    }
    for (const Json& row : document.at("q")) {
      beacon.mSuspects.push_back(ToSuspect(row));
    }
    for (const auto& [runner, row] : document.at("w").items()) {
      beacon.mReads[runner] = { row.at(0).get<double>(),
                                row.at(1).get<std::vector<std::uint64_t>>() };
    }
    beacon.mKnown = document.at("k").get<std::vector<std::string>>();
    return beacon;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string
EncodePeerItems(const StoreWatcher& aFollower)
{
  Json entries = Json::array();
  for (const auto& [key, entry] : aFollower.Entries()) {
    entries.push_back({ { "key", key },
                        { "value", EncodeBase64(entry.mValue) },
                        { "revision", entry.mModRevision } });
  }
  return Json{ { "at", aFollower.Revision() }, { "entries", entries } }.dump();
}

Peers::Peers(GatewayShared& aShared, StoreWatcher& aFollower)
  : mShared(aShared)
  , mFollower(aFollower)
  , mFrontend(aShared.mLoop,
              [this](const IncomingRequest& aRequest,
                     const std::shared_ptr<CallerLink>& aCaller) {
                Serve(aRequest, aCaller);
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
  auto own = SocketAddress(settings.mAddress, settings.mPeerDatagramPort);
  if (mSocket < 0 || !own ||
      bind(mSocket, reinterpret_cast<sockaddr*>(&*own), sizeof *own) != 0) {
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
  mShared.mOnLargeRead = [this] { SendSoon(); };
  mTimer = Timer::Every(mShared.mLoop, kBeaconPeriodMs, [this] { Send(); });
  Send();
  return true;
}

int
Peers::LiveCount(TimeMs aNowMs) const
{
  int live = 0;
  for (const auto& [address, peer] : mPeers) {
    live += aNowMs - peer.mHeardMs < kLiveMs;
  }
  return live;
}

bool
Peers::IsStoreServingPeers(TimeMs aNowMs) const
{
  for (const auto& [address, peer] : mPeers) {
    if (aNowMs - peer.mHeardMs < kLiveMs && peer.mReachesStore) {
      return true;
    }
  }
  return false;
}

bool
Peers::IsDriver(TimeMs aNowMs) const
{
  if (!mFollower.IsReachable() || mLeaving) {
    return false;
  }
  for (const auto& [address, peer] : mPeers) {
    if (aNowMs - peer.mHeardMs < kLiveMs && !peer.mLeaving &&
        peer.mAt >= mFollower.Revision() - kMaxDriverLag &&
        peer.mHost < mShared.mSettings.mHost) {
      return false;
    }
  }
  return true;
}

int
Peers::Fanout() const
{
  return static_cast<int>(mPeers.size());
}

// Tells the peers within a few milliseconds; sends that follow are joined.
void
Peers::SendSoon()
{
  if (!mSoon.IsSet()) {
    TimeMs delay =
      std::clamp(kSoonMs * Fanout() / kFanoutAtOnce, kSoonMs, kBeaconPeriodMs);
    mSoon = Timer::After(mShared.mLoop, delay, [this] { Send(); });
  }
}

void
Peers::Send()
{
  TimeMs now = mShared.mLoop.NowMs();
  Beliefs& beliefs = mShared.mBeliefs;
  beliefs.mRunners.mEntryHosts = std::max(
    1 + LiveCount(now), static_cast<int>(mShared.mSettings.mSeeds.size()));
  mFollower.SetWatcherCount(beliefs.mRunners.mEntryHosts);
  PeerBeacon beacon;
  beacon.mHost = mShared.mSettings.mHost;
  beacon.mAddress = mShared.mSettings.mAddress;
  beacon.mZone = mShared.mSettings.mZone;
  beacon.mAt = mFollower.Revision();
  beacon.mLeaving = mLeaving;
  beacon.mReachesStore = mFollower.IsReachable();
  for (auto& [service, shift] : beliefs.mShifts.mShifts) {
    if (shift.mOrder.mTarget.empty() ||
        (shift.mProgress &&
         shift.mProgress->mState != ShiftState::InProgress)) {
      continue;
    }
    shift.mLocalCounts.mBaselineInFlight = 0;
    for (const auto& exchange : mShared.mExchanges) {
      shift.mLocalCounts.mBaselineInFlight +=
        exchange->IsWithOther(service, shift.mOrder.mTarget);
    }
    beacon.mShifts[service] = { shift.mOrder.mRevision,
                                now - shift.mOrderSeenMs,
                                shift.mLocalCounts };
  }
  // Totals are told, so that a lost datagram is made up for by the next one
  // that names the runner.
  for (auto& [id, runner] : beliefs.mRunners.mRunners) {
    double total = std::round(runner.mSentPrefillMs);
    double& told = mToldReads[id];
    if (total != told || !runner.mUnpublishedParts.empty()) {
      beacon.mReads[id] = { total,
                            std::exchange(runner.mUnpublishedParts, {}) };
    }
    told = total;
  }
  beacon.mSuspects = MakeSuspectRows(beliefs.mQuarantine, now);
  if (beacon.mSuspects.size() > kMaxSuspectsTold) {
    beacon.mSuspects.resize(kMaxSuspectsTold);
  }
  for (const auto& [address, peer] : mPeers) {
    if (now - peer.mHeardMs < kLiveMs) {
      beacon.mKnown.push_back(address);
    }
  }
  // Bytes between zones are dear: one host of each other zone is told, another
  // one each time, and passes it on. Hosts not heard lately are told directly.
  std::map<std::string, std::vector<std::string>> others;
  std::string bytes = EncodeBeacon(beacon);
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone != beacon.mZone && !peer.mZone.empty() && !peer.mLeaving &&
        now - peer.mHeardMs < kLiveMs) {
      others[peer.mZone].push_back(address);
    } else {
      SendDatagram(address, bytes);
    }
  }
  beacon.mRelay = true;
  bytes = EncodeBeacon(beacon);
  for (const auto& [zone, addresses] : others) {
    std::uniform_int_distribution<std::size_t> any(0, addresses.size() - 1);
    SendDatagram(addresses[any(beliefs.mRandom)], bytes);
  }
  std::erase_if(mPeers, [&](const auto& aRow) {
    return aRow.second.mHeardMs > 0 &&
           now - aRow.second.mHeardMs > kPeerPrefillTtlMs;
  });
  PullIfBehind();
}

void
Peers::SendDatagram(const std::string& aAddress, const std::string& aBytes)
{
  // An address that a peer told of may be none.
  auto target = SocketAddress(aAddress, mShared.mSettings.mPeerDatagramPort);
  if (!target) {
    return;
  }
  // A datagram that cannot be sent is replaced by the next one.
  (void)sendto(mSocket,
               aBytes.data(),
               aBytes.size(),
               0,
               reinterpret_cast<sockaddr*>(&*target),
               sizeof *target);
}

// Passes a beacon of another zone on to the hosts of this one.
void
Peers::Relay(PeerBeacon aBeacon)
{
  aBeacon.mRelay = false;
  std::string bytes = EncodeBeacon(aBeacon);
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone == mShared.mSettings.mZone && address != aBeacon.mAddress) {
      SendDatagram(address, bytes);
    }
  }
}

void
Peers::Receive()
{
  std::string bytes(kMaxDatagram, '\0');
  for (;;) {
    ssize_t size = recv(mSocket, bytes.data(), bytes.size(), 0);
    if (size < 0) {
      return;
    }
    auto beacon =
      DecodeBeacon({ bytes.data(), static_cast<std::size_t>(size) });
    if (beacon && beacon->mAddress != mShared.mSettings.mAddress) {
      TakeBeacon(*beacon);
      if (beacon->mRelay) {
        Relay(std::move(*beacon));
      }
    }
  }
}

void
Peers::TakeBeacon(const PeerBeacon& aBeacon)
{
  TimeMs now = mShared.mLoop.NowMs();
  Peer& peer = mPeers[aBeacon.mAddress];
  if (now - peer.mHeardMs >= kLiveMs) {
    LogEvent(Event::PeerHeard,
             { { "peer", aBeacon.mHost },
               { "revision", std::to_string(aBeacon.mAt) } });
  }
  peer.mHost = aBeacon.mHost;
  peer.mZone = aBeacon.mZone;
  peer.mHeardMs = now;
  peer.mAt = aBeacon.mAt;
  peer.mLeaving = aBeacon.mLeaving;
  peer.mReachesStore = aBeacon.mReachesStore;
  for (const std::string& address : aBeacon.mKnown) {
    if (address != mShared.mSettings.mAddress) {
      mPeers.try_emplace(address);
    }
  }
  Beliefs& beliefs = mShared.mBeliefs;
  for (const auto& [id, reads] : aBeacon.mReads) {
    auto found = beliefs.mRunners.mRunners.find(id);
    if (found != beliefs.mRunners.mRunners.end()) {
      MergePeerPrefill(
        found->second, aBeacon.mHost, reads.mTotalMs, reads.mParts, now);
    }
  }
  for (const auto& [service, row] : aBeacon.mShifts) {
    auto found = beliefs.mShifts.mShifts.find(service);
    if (found != beliefs.mShifts.mShifts.end() &&
        found->second.mOrder.mRevision == row.mOrderRevision) {
      ApplyOrderAge(found->second, row.mOrderAgeMs, now);
      MergePeerCounts(found->second, aBeacon.mHost, row.mCounts);
    }
  }
  if (!aBeacon.mSuspects.empty()) {
    MergeSuspects(
      beliefs.mQuarantine, beliefs.mQuarantineOptions, aBeacon.mSuspects, now);
  }
}

// Asks a peer that knows more for the store's items while the store turns this
// host away.
void
Peers::PullIfBehind()
{
  if (mFollower.IsReachable() || (mPull && mPull->IsBusy())) {
    return;
  }
  TimeMs now = mShared.mLoop.NowMs();
  const std::string* best = nullptr;
  std::int64_t at = mFollower.Revision();
  for (const auto& [address, peer] : mPeers) {
    if (now - peer.mHeardMs < kLiveMs && peer.mAt > at) {
      at = peer.mAt;
      best = &address;
    }
  }
  if (!best) {
    return;
  }
  if (*best != mPullAddress || !mPull) {
    mPullAddress = *best;
    mPull = std::make_unique<FleetStoreConnection>(
      mShared.mLoop, Endpoint{ *best, mShared.mSettings.mPeers.mPort });
  }
  mPull->Call(
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
      auto items = ParseFleetEntries(aResult->mBody);
      if (!items) {
        LogEvent(
          Event::PeerPullFailed,
          { { "peer", mPullAddress }, { "reason", items.error().mReason } });
        return;
      }
      LogEvent(Event::PeerPulled,
               { { "peer", mPullAddress },
                 { "revision", std::to_string(items->mRevision) } });
      mFollower.MergePeerEntries(*items);
    });
}

void
Peers::Serve(const IncomingRequest& aRequest,
             const std::shared_ptr<CallerLink>& aCaller)
{
  if (aRequest.mHead.mTarget != "/items" || !mFollower.HasState()) {
    aCaller->Respond(404, {}, {});
    return;
  }
  aCaller->Respond(200,
                   { { "Content-Type", "application/json" } },
                   EncodePeerItems(mFollower));
}

} // namespace savory
