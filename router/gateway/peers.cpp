#include "peers.h"

#include "savory/net/log.h"
#include "savory/net/socket_address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/util.h>
#include <iterator>
#include <sys/socket.h>
#include <unistd.h>

namespace savory {

namespace {

// Interval of peer messages. A rollback must be done within seconds, and each
// datagram between zones costs money.
constexpr TimeMs kSendIntervalMs = 300;

// Delay of the message that follows a long prefill, so that it covers further
// prompts. With more peers than kPeersAtMinBatchDelay it is longer, so that a
// host's traffic does not grow with the square of the fleet.
constexpr TimeMs kBatchDelayMs = 20;
constexpr int kPeersAtMinBatchDelay = 4;

// A peer that sent messages, but none for this long, is removed. Addresses from
// which none arrived yet stay.
constexpr TimeMs kPeerRemovalMs = 20000;

// The size of the receive buffer; a longer datagram is truncated and cannot be
// decoded.
constexpr std::size_t kReceiveBufferBytes = 2 * kMaxPeerDatagramBytes;

// Number of live addresses in a beacon. They are drawn anew each time, so that
// all hosts know each other within a few beacons.
constexpr std::size_t kAddressesPerMessage = 12;

// Maximum number of sources of unreadable datagrams that are remembered.
constexpr std::size_t kMaxDroppedSources = 1024;

std::string
FormatAddress(std::uint32_t aAddress)
{
  in_addr address{ htonl(aAddress) };
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, text, sizeof text);
  return text;
}

} // namespace

Peers::Peers(GatewayShared& aShared, StoreWatcher& aWatcher)
  : mShared(aShared)
  , mWatcher(aWatcher)
  , mFrontend(
      aShared.mLoop,
      [this](const IncomingRequest& aRequest,
             const std::shared_ptr<CallerLink>& aCaller) {
        mSharing.OnRequest(aRequest, aCaller);
      },
      aShared.mByteBudget)
  , mSharing(aShared.mLoop, aShared.mSettings, mPeers, aWatcher)
{
  mSharing.mSendToZone = [this](const std::string& aBytes) {
    SendToZone(aBytes, mShared.mSettings.mAddress);
  };
  mSharing.mAnnounceRevision = [this] { Send(); };
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
  mShared.mIsTrialHost = [this](const SuspectKey& aKey) {
    return IsFirstByRank(
      mPeers, mShared.mSettings.mHost, aKey.mId, mShared.mLoop.NowMs());
  };
  mStartedMs = mShared.mLoop.NowMs();
  mSendTimer = Timer::Every(mShared.mLoop, kSendIntervalMs, [this] { Send(); });
  Send();
  return true;
}

bool
Peers::IsStoreServingPeers(TimeMs aNowMs) const
{
  return savory::IsStoreServingPeers(mPeers, aNowMs);
}

int
Peers::RankFor(std::uint64_t aKey, TimeMs aNowMs) const
{
  return CandidateRank(mPeers, mShared.mSettings.mHost, aKey, aNowMs);
}

bool
Peers::IsCoordinator(TimeMs aNowMs) const
{
  return mWatcher.IsReachable() && !mWatcher.IsFollowing() && !mLeaving &&
         IsFirstCoordinator(
           mPeers, mShared.mSettings.mHost, mWatcher.Position(), aNowMs);
}

int
Peers::PeerCount() const
{
  return static_cast<int>(mPeers.size());
}

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

// Adds the progress of version shifts as this host sees it.
void
Peers::AddShifts(PeerMessage& aMessage) const
{
  for (auto& [service, shift] : mShared.mState.mShifts.mShifts) {
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
    aMessage.mShifts[service] = { shift.mOrder.mRevision,
                                  mShared.mLoop.NowMs() - shift.mOrderSeenMs,
                                  shift.mLocalCounts };
  }
}

PeerMessage
Peers::MakeMessage(TimeMs aNowMs)
{
  GatewayState& state = mShared.mState;
  PeerMessage message;
  message.mHost = mShared.mSettings.mHost;
  message.mAddress = mShared.mSettings.mAddress;
  message.mZone = mShared.mSettings.mZone;
  message.mStoreRevision = mWatcher.Position();
  message.mLeaving = mLeaving;
  message.mMayWatch = mWatcher.MayWatch();
  message.mContactAgeMs = mWatcher.ContactAgeMs();
  message.mReachableForMs = aNowMs - mWatcher.ReachableSinceMs();
  message.mCapacity = mShared.mSettings.mCapacity;
  AddShifts(message);
  AddPrefillReports(message, state.mRunners, mBeaconCursor);
  mShared.mAddUsage(message);
  message.mCrashes = MakeCrashReport(state.mCrashSuspects, aNowMs);
  std::vector<std::string> live;
  for (const auto& [address, peer] : mPeers) {
    if (IsLive(peer, aNowMs)) {
      live.push_back(address);
    }
  }
  message.mLiveHosts = 1 + static_cast<int>(live.size());
  std::sample(live.begin(),
              live.end(),
              std::back_inserter(message.mLiveAddresses),
              kAddressesPerMessage,
              state.mRandom);
  return message;
}

void
Peers::SendLast()
{
  // Other deployments send nothing more, as before.
  if (mSocket >= 0 && !mShared.mSettings.mDuties.empty()) {
    Send();
  }
}

// Traffic between zones is expensive: of each other zone, one live host, chosen
// at random, receives the beacon and relays it. Hosts that are not live or
// whose zone is unknown receive it directly.
void
Peers::Send()
{
  TimeMs now = mShared.mLoop.NowMs();
  GatewayState& state = mShared.mState;
  state.mRunners.mEntryHosts = CountEntryHosts(
    mPeers, static_cast<int>(mShared.mSettings.mSeeds.size()), mStartedMs, now);
  PeerMessage message = MakeMessage(now);
  std::map<std::string, std::vector<std::string>> otherZones;
  std::string bytes = EncodePeerMessage(message);
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone != message.mZone && !peer.mZone.empty() && !peer.mLeaving &&
        IsLive(peer, now)) {
      otherZones[peer.mZone].push_back(address);
    } else {
      SendDatagram(address, bytes);
    }
  }
  SetDatagramKind(bytes, PeerDatagramKind::RelayedBeacon);
  for (const auto& [zone, addresses] : otherZones) {
    std::uniform_int_distribution<std::size_t> uniform(0, addresses.size() - 1);
    SendDatagram(addresses[uniform(state.mRandom)], bytes);
  }
  std::erase_if(mPeers, [&](const auto& aRow) {
    return aRow.second.mLastHeardMs > 0 &&
           now - aRow.second.mLastHeardMs > kPeerRemovalMs;
  });
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

// Sends a datagram to the live hosts of the local zone, but not to the one that
// it comes from.
void
Peers::SendToZone(const std::string& aBytes, const std::string& aFromAddress)
{
  for (const auto& [address, peer] : mPeers) {
    if (peer.mZone == mShared.mSettings.mZone && address != aFromAddress) {
      SendDatagram(address, aBytes);
    }
  }
}

void
Peers::Receive()
{
  std::string bytes(kReceiveBufferBytes, '\0');
  for (;;) {
    sockaddr_in source{};
    socklen_t sourceSize = sizeof source;
    ssize_t size = recvfrom(mSocket,
                            bytes.data(),
                            bytes.size(),
                            0,
                            reinterpret_cast<sockaddr*>(&source),
                            &sourceSize);
    if (size < 0) {
      return;
    }
    OnDatagram({ bytes.data(), static_cast<std::size_t>(size) },
               ntohl(source.sin_addr.s_addr));
  }
}

void
Peers::OnDatagram(std::string_view aBytes, std::uint32_t aSource)
{
  auto kind = ParseDatagramKind(aBytes);
  if (!kind) {
    OnDatagramDropped(aSource, kind.error());
    return;
  }
  if (*kind == PeerDatagramKind::Changes) {
    auto changes = DecodeChangeMessage(aBytes);
    if (changes) {
      mSharing.OnChangeMessage(*changes);
    } else {
      OnDatagramDropped(aSource, "malformed changes");
    }
    return;
  }
  auto message = DecodePeerMessage(aBytes);
  if (!message) {
    OnDatagramDropped(aSource, "malformed beacon");
    return;
  }
  if (message->mAddress == mShared.mSettings.mAddress) {
    return;
  }
  OnPeerMessage(*message);
  if (*kind == PeerDatagramKind::RelayedBeacon) {
    std::string forwarded(aBytes);
    SetDatagramKind(forwarded, PeerDatagramKind::Beacon);
    SendToZone(forwarded, message->mAddress);
  }
}

// Counts a datagram that cannot be read. The first of each source is logged;
// during a change of releases there are many.
void
Peers::OnDatagramDropped(std::uint32_t aSource, const std::string& aReason)
{
  mShared.mMetrics.CountDroppedDatagram();
  if (mDroppedSources.size() < kMaxDroppedSources &&
      mDroppedSources.insert(aSource).second) {
    LogEvent(Event::PeerMessageDropped,
             { { "peer", FormatAddress(aSource) }, { "reason", aReason } });
  }
}

void
Peers::OnPeerMessage(const PeerMessage& aMessage)
{
  TimeMs now = mShared.mLoop.NowMs();
  Peer& peer = mPeers[aMessage.mAddress];
  // A host that restarts quickly was not missed, but knows nothing.
  if (!IsLive(peer, now) || aMessage.mStoreRevision < peer.mStoreRevision) {
    OnHostJoined(mShared.mState.mCrashSuspects);
    ScheduleSend();
  }
  if (!IsLive(peer, now)) {
    LogEvent(
      Event::PeerHeard,
      { { "peer", aMessage.mHost },
        { "revision", std::to_string(aMessage.mStoreRevision.mRevision) } });
  }
  peer.mHost = aMessage.mHost;
  peer.mZone = aMessage.mZone;
  peer.mLastHeardMs = now;
  peer.mStoreRevision = aMessage.mStoreRevision;
  peer.mLeaving = aMessage.mLeaving;
  peer.mMayWatch = aMessage.mMayWatch;
  peer.mContactMs.reset();
  if (aMessage.mContactAgeMs) {
    peer.mContactMs = now - *aMessage.mContactAgeMs;
  }
  peer.mReachableSinceMs = now - aMessage.mReachableForMs;
  peer.mLiveHosts = aMessage.mLiveHosts;
  peer.mCapacity = aMessage.mCapacity;
  for (const std::string& address : aMessage.mLiveAddresses) {
    if (address != mShared.mSettings.mAddress) {
      mPeers.try_emplace(address);
    }
  }
  mShared.mOnPeerUsage(aMessage);
  GatewayState& state = mShared.mState;
  for (const auto& [id, prefills] : aMessage.mPrefills) {
    auto found = state.mRunners.mRunners.find(id);
    if (found != state.mRunners.mRunners.end()) {
      MergePeerPrefill(
        found->second, prefills.mPrefillMs, prefills.mPartKeys, now);
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
  const CrashReport& crashes = aMessage.mCrashes;
  if (!crashes.mSuspects.empty() || !crashes.mCrashes.empty()) {
    MergeCrashReport(
      state.mCrashSuspects, state.mCrashSuspectOptions, crashes, now);
    mShared.mOnSuspectsChanged();
  }
}

} // namespace savory
