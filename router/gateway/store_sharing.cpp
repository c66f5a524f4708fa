#include "store_sharing.h"

#include "savory/net/log.h"
#include "savory/platform/base64.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

namespace savory {

namespace {

using Json = nlohmann::json;

// Time limit for fetching the store's entries from a peer.
constexpr TimeMs kPullTimeoutMs = 1500;

constexpr std::string_view kItemsTarget = "/items";
constexpr std::string_view kChangesTarget = "/changes?after=";
// Left out where the epoch is 0.
constexpr std::string_view kEpochParameter = "&epoch=";
// The asking host can restore values from deltas.
constexpr std::string_view kDeltasParameter = "&deltas=1";

// Writes entries in the format that ParseFleetEntries reads.
std::string
FormatEntries(std::int64_t aRevision, const Json& aRows)
{
  return Json{ { "at", aRevision }, { "entries", aRows } }.dump();
}

Json
FormatEntry(const StoreEntry& aEntry)
{
  Json row{ { "key", aEntry.mKey }, { "revision", aEntry.mModRevision } };
  if (aEntry.mDeleted) {
    row["tombstone"] = true;
  } else {
    bool isDelta = aEntry.mBaseRevision > 0;
    row["value"] = EncodeBase64(isDelta ? aEntry.mDelta : aEntry.mValue);
    if (isDelta) {
      row[kBaseRevisionField] = aEntry.mBaseRevision;
    }
  }
  return row;
}

StoreChanges
ToStoreChanges(const ChangeMessage& aMessage)
{
  StoreChanges changes;
  changes.mFromRevision = aMessage.mFromRevision;
  changes.mEntries.mRevision = aMessage.mToRevision;
  changes.mEntries.mEpoch = aMessage.mEpoch;
  changes.mIsFromList = aMessage.mIsFromList;
  for (const ChangeRow& row : aMessage.mRows) {
    StoreEntry entry{ row.mKey, "", row.mRevision, !row.mValue };
    entry.mBaseRevision = row.mBaseRevision;
    (row.mBaseRevision > 0 ? entry.mDelta : entry.mValue) =
      row.mValue.value_or("");
    changes.mEntries.mEntries.push_back(std::move(entry));
  }
  return changes;
}

// Reads REVISION or REVISION&epoch=EPOCH. What cannot be read counts as 0.
StoreRevision
ParsePosition(std::string_view aText)
{
  StoreRevision position;
  const char* end = aText.data() + aText.size();
  auto read = std::from_chars(aText.data(), end, position.mRevision);
  std::string_view rest(read.ptr, static_cast<std::size_t>(end - read.ptr));
  if (rest.starts_with(kEpochParameter)) {
    rest.remove_prefix(kEpochParameter.size());
    std::from_chars(rest.data(), rest.data() + rest.size(), position.mEpoch);
  }
  return position;
}

} // namespace

StoreSharing::StoreSharing(EventLoop& aLoop,
                           const FleetSettings& aSettings,
                           PeerTable& aPeers,
                           StoreWatcher& aWatcher)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mPeers(aPeers)
  , mWatcher(aWatcher)
{
  mDutyOptions.mHost = aSettings.mHost;
  mDutyOptions.mZone = aSettings.mZone;
  mDutyOptions.mCapacity = aSettings.mCapacity;
  mDutyOptions.mChangeBoundMs = aSettings.mChangeBoundMs;
  mWatcher.mOnWatchedChanges = [this](const StoreChanges& aChanges) {
    Share(aChanges);
  };
}

void
StoreSharing::Update()
{
  TimeMs now = mLoop.NowMs();
  std::vector<ZonePeer> zonePeers =
    ReliablePeers(mPeers, mSettings.mZone, mResumedMs, now);
  // Live hosts by zone, this one included.
  std::map<std::string, int> hosts{ { mSettings.mZone, 1 } };
  for (const auto& [address, peer] : mPeers) {
    hosts[peer.mZone] += IsLive(peer, now) && peer.mLastHeardMs >= mResumedMs;
  }
  int watchers = 0;
  for (const auto& [zone, count] : hosts) {
    watchers += std::min(count, WatcherCount(mDutyOptions));
  }
  mWatcher.SetWatcherCount(watchers,
                           hosts[mSettings.mZone] > WatcherCount(mDutyOptions));
  bool wasWatching = mDuty.mWatching;
  UpdateCopyAge(now);
  UpdateWatchDuty(
    mDuty, mDutyOptions, zonePeers, mWatcher.MayWatch(), mCopyAgeMs, now);
  if (wasWatching != mDuty.mWatching) {
    LogEvent(Event::WatchDutyChanged,
             { { "watching", mDuty.mWatching ? "true" : "false" },
               { "zone_hosts", std::to_string(hosts[mSettings.mZone]) },
               { "copy_age_ms", std::to_string(mCopyAgeMs) },
               { "revision", std::to_string(mWatcher.Revision()) } });
  }
  MayPullEpoch(NewestEpoch(mPeers, now));
  if (mDuty.mCovered) {
    mWatcher.Follow(
      ServingSinceMs(mPeers, mDutyOptions, mResumedMs, now).value_or(now));
  } else if (mDuty.mWatching && mWatcher.IsFollowing()) {
    mWatcher.StopFollowing();
  }
  PullIfBehind();
}

void
StoreSharing::UpdateCopyAge(TimeMs aNowMs)
{
  if (auto contactAgeMs = mWatcher.ContactAgeMs()) {
    mWholeAsOfMs = std::max(mWholeAsOfMs, aNowMs - *contactAgeMs);
  }
  if (auto asOfMs =
        WholeAsOfMs(mPeers, mWatcher.Position(), mResumedMs, aNowMs)) {
    mWholeAsOfMs = std::max(mWholeAsOfMs, *asOfMs);
  }
  mCopyAgeMs = aNowMs - mWholeAsOfMs;
}

void
StoreSharing::OnResumed()
{
  mResumedMs = mLoop.NowMs();
  mWholeAsOfMs = -1'000'000;
  mDuty = {};
  mWatcher.OnResumed();
}

// Passes changes on to the zone. Those that do not fit into a datagram are
// fetched by the peers once they hear of the new revision.
void
StoreSharing::Share(const StoreChanges& aChanges)
{
  ChangeMessage message;
  message.mAddress = mSettings.mAddress;
  message.mEpoch = aChanges.mEntries.mEpoch;
  message.mFromRevision = aChanges.mFromRevision;
  message.mToRevision = aChanges.mEntries.mRevision;
  message.mIsFromList = aChanges.mIsFromList;
  for (const StoreEntry& entry : aChanges.mEntries.mEntries) {
    ChangeRow row{
      entry.mKey, std::nullopt, entry.mModRevision, entry.mBaseRevision
    };
    if (!entry.mDeleted) {
      row.mValue = entry.mBaseRevision > 0 ? entry.mDelta : entry.mValue;
    }
    message.mRows.push_back(std::move(row));
  }
  std::string bytes = EncodeChangeMessage(message);
  if (bytes.empty()) {
    mAnnounceRevision();
  } else {
    mSendToZone(bytes);
  }
}

void
StoreSharing::OnChangeMessage(const ChangeMessage& aMessage)
{
  MergeResult result = mWatcher.MergePeerChanges(ToStoreChanges(aMessage));
  auto sender = mPeers.find(aMessage.mAddress);
  if (result != MergeResult::Applied && sender != mPeers.end() &&
      mLoop.NowMs() >= sender->second.mAvoidedUntilMs &&
      MayPullEpoch(aMessage.mEpoch)) {
    Pull(aMessage.mAddress,
         !mWatcher.HasState()                ? PullScope::Entries
         : result == MergeResult::MissesBase ? PullScope::Changes
                                             : PullScope::Deltas);
  }
}

// Notes an epoch of the store that a peer has. Returns whether this host may
// fetch it from peers now: after a change of the epoch all hosts need a whole
// list, and the few that watch the store must not have to send all at once.
bool
StoreSharing::MayPullEpoch(std::int64_t aEpoch)
{
  if (aEpoch > mHeardEpoch && aEpoch > mWatcher.Position().mEpoch) {
    mHeardEpoch = aEpoch;
    mPullFromMs = mLoop.NowMs() + RestoreDelayMs(mSettings.mHost);
    mWatcher.OnPeerEpoch(aEpoch);
  }
  return aEpoch <= mWatcher.Position().mEpoch || !mWatcher.HasState() ||
         mLoop.NowMs() >= mPullFromMs;
}

// Fetches what this host lacks while the store does not answer it.
void
StoreSharing::PullIfBehind()
{
  bool isFollowing = mWatcher.IsFollowing();
  if (mWatcher.IsReachable() && !isFollowing && !mWatcher.IsOverdue()) {
    return;
  }
  auto source = ChoosePullSource(
    mPeers, mDutyOptions, isFollowing, mWatcher.Position(), mLoop.NowMs());
  if (source && MayPullEpoch(mPeers.at(*source).mStoreRevision.mEpoch)) {
    Pull(*source,
         mWatcher.IsConfirmed() ? PullScope::Deltas : PullScope::Entries);
  }
}

void
StoreSharing::Pull(const std::string& aAddress, PullScope aScope)
{
  if (mPullConnection && mPullConnection->IsBusy()) {
    return;
  }
  if (aAddress != mPullAddress || !mPullConnection) {
    mPullAddress = aAddress;
    mPullConnection = std::make_unique<FleetStoreConnection>(
      mLoop, Endpoint{ aAddress, mSettings.mPeers.mPort });
  }
  std::string target(kItemsTarget);
  if (aScope != PullScope::Entries) {
    target = kChangesTarget;
    target += std::to_string(mWatcher.Revision());
    if (mWatcher.Position().mEpoch > 0) {
      target += kEpochParameter;
      target += std::to_string(mWatcher.Position().mEpoch);
    }
  }
  if (aScope == PullScope::Deltas) {
    target += kDeltasParameter;
  }
  mPullConnection->Call(
    "GET",
    target,
    {},
    kPullTimeoutMs,
    [this, aScope](const tl::expected<HttpResponse, StoreError>& aResult) {
      OnPulled(aScope, aResult);
    });
}

void
StoreSharing::OnPulled(PullScope aScope,
                       const tl::expected<HttpResponse, StoreError>& aResult)
{
  if (aScope != PullScope::Entries && aResult && aResult->mStatus == 410) {
    Pull(std::string(mPullAddress), PullScope::Entries);
    return;
  }
  tl::expected<StoreEntries, StoreError> entries =
    aResult && aResult->mStatus == 200
      ? ParseFleetEntries(aResult->mBody, EntryWriter::Peer)
      : tl::unexpected(
          aResult ? StoreError{ StoreErrorCode::Refused,
                                "status " + std::to_string(aResult->mStatus) }
                  : aResult.error());
  if (entries) {
    auto epoch = ParseStoreEpoch(aResult->mHeaders);
    if (epoch) {
      entries->mEpoch = *epoch;
    } else {
      entries = tl::unexpected(epoch.error());
    }
  }
  if (!entries) {
    auto peer = mPeers.find(mPullAddress);
    if (peer != mPeers.end()) {
      OnPullFailed(peer->second, mLoop.NowMs());
    }
    LogEvent(
      Event::PeerPullFailed,
      { { "peer", mPullAddress },
        { "reason", entries.error().mReason },
        { "bytes", std::to_string(mPullConnection->LastAnswer().mBytes) },
        { "ms", std::to_string(mPullConnection->LastAnswer().mTotalMs) } });
    return;
  }
  LogEvent(
    Event::PeerPulled,
    { { "peer", mPullAddress },
      { "revision", std::to_string(entries->mRevision) },
      { "entries", std::to_string(entries->mEntries.size()) },
      { "full", aScope == PullScope::Entries ? "true" : "false" },
      { "scope", std::string(ToName(kPullScopeNames, aScope)) },
      { "bytes", std::to_string(mPullConnection->LastAnswer().mBytes) },
      { "ms", std::to_string(mPullConnection->LastAnswer().mTotalMs) } });
  if (aScope == PullScope::Entries) {
    mWatcher.MergePeerEntries(*entries);
  } else if (mWatcher.MergePeerChanges({ mWatcher.Revision(), *entries }) ==
             MergeResult::MissesBase) {
    Pull(std::string(mPullAddress), PullScope::Changes);
  }
}

void
StoreSharing::OnRequest(const IncomingRequest& aRequest,
                        const std::shared_ptr<CallerLink>& aCaller) const
{
  std::string_view target = aRequest.mHead.mTarget;
  Json rows = Json::array();
  if (target == kItemsTarget && mWatcher.HasState()) {
    for (const auto& [key, entry] : mWatcher.Copy().mEntries) {
      rows.push_back(FormatEntry(entry));
    }
  } else if (target.starts_with(kChangesTarget)) {
    target.remove_prefix(kChangesTarget.size());
    auto form = target.ends_with(kDeltasParameter) ? ChangeForm::Deltas
                                                   : ChangeForm::Values;
    auto changes = ChangesAfter(mWatcher.Copy(), ParsePosition(target), form);
    if (!changes) {
      aCaller->Respond(410, {}, {});
      return;
    }
    for (const StoreEntry& entry : changes->mEntries.mEntries) {
      rows.push_back(FormatEntry(entry));
    }
  } else {
    aCaller->Respond(404, {}, {});
    return;
  }
  Headers headers{ { "Content-Type", "application/json" } };
  if (mWatcher.Position().mEpoch > 0) {
    headers.emplace_back(std::string(kStoreEpochHeader),
                         std::to_string(mWatcher.Position().mEpoch));
  }
  aCaller->Respond(200, headers, FormatEntries(mWatcher.Revision(), rows));
}

} // namespace savory
