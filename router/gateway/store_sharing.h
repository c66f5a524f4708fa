#pragma once

#include "savory/core/peer_message.h"
#include "savory/core/peer_table.h"
#include "savory/net/http_link.h"
#include "savory/platform/fleet_settings.h"
#include "savory/platform/fleet_watcher.h"

#include <array>
#include <memory>
#include <string>

namespace savory {

// What a host fetches from a peer: the changes that it lacks, those of large
// values as deltas, the same with whole values, or all entries.
enum class PullScope
{
  Deltas,
  Changes,
  Entries,
};

inline constexpr std::array<EnumName<PullScope>, 3> kPullScopeNames{ {
  { PullScope::Deltas, "deltas" },
  { PullScope::Changes, "changes" },
  { PullScope::Entries, "entries" },
} };

// Shares the copy of the store among the hosts of an availability zone: decides
// whether this host watches the store, passes on the changes that it receives,
// and fetches from a peer what it lacks.
class StoreSharing
{
public:
  StoreSharing(EventLoop& aLoop,
               const FleetSettings& aSettings,
               PeerTable& aPeers,
               StoreWatcher& aWatcher);

  // Updates the duty and the watcher. To be called several times a second.
  void Update();
  // The time since which this host may have missed a change of the store, as of
  // the last update.
  TimeMs CopyAgeMs() const { return mCopyAgeMs; }
  // Makes this host watch the store itself until peers are heard anew, since
  // its clock stood still and what it knows of them may be old.
  void OnResumed();
  void OnChangeMessage(const ChangeMessage& aMessage);
  // Answers a peer that asks for entries or changes of the store.
  void OnRequest(const IncomingRequest& aRequest,
                 const std::shared_ptr<CallerLink>& aCaller) const;

  // Sends a datagram to each host of the own zone.
  sigc::slot<void(const std::string&)> mSendToZone;
  // Called when changes do not fit into a datagram, so that a beacon announces
  // their revision to the hosts that fetch them.
  sigc::slot<void()> mAnnounceRevision;

private:
  void Share(const StoreChanges& aChanges);
  void UpdateCopyAge(TimeMs aNowMs);
  void PullIfBehind();
  bool MayPullEpoch(std::int64_t aEpoch);
  void Pull(const std::string& aAddress, PullScope aScope);
  void OnPulled(PullScope aScope,
                const tl::expected<HttpResponse, StoreError>& aResult);

  EventLoop& mLoop;
  const FleetSettings& mSettings;
  PeerTable& mPeers;
  StoreWatcher& mWatcher;
  WatchDutyOptions mDutyOptions;
  WatchDuty mDuty;
  // Messages of peers before this time are not relied upon.
  TimeMs mResumedMs = -1'000'000;
  // The copy lacked nothing that the store had at this time.
  TimeMs mWholeAsOfMs = -1'000'000;
  TimeMs mCopyAgeMs = 0;
  // The newest epoch of the store that was heard of from peers, and the time
  // from which this host fetches it from them.
  std::int64_t mHeardEpoch = 0;
  TimeMs mPullFromMs = 0;
  std::string mPullAddress;
  std::unique_ptr<FleetStoreConnection> mPullConnection;
};

} // namespace savory
