#pragma once

#include "savory/core/config_store.h"
#include "savory/core/membership.h"

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace savory {

// Safeguards that tests disable to show that a check fails without them. Every
// process runs with all of them.
struct SyncOptions
{
  bool mApplyOnlyNewer = true;
  bool mStartNeedsMajority = true;
  bool mRefuseWhenStale = true;
  bool mRefuseOlderSender = true;
};

// The age of the last verified state of the head beyond which an entry refuses
// new work: a process that is partitioned off stops within 9 s.
inline constexpr TimeMs kMaxHeadAgeMs = 9000;

// The duration of a watch on the head, and the time without an answer after
// which a call to the store counts as failed; for a watch, that time starts at
// its end.
inline constexpr TimeMs kWatchDurationMs = 1000;
inline constexpr TimeMs kStoreTimeoutMs = 1000;

// An entry that is not a watcher reads the head itself once its last verified
// state of the head is older than kProbeHeadAgeMs, then at kProbeIntervalMs.
inline constexpr TimeMs kProbeHeadAgeMs = 5500;
inline constexpr TimeMs kProbeIntervalMs = 2000;

// The age up to which the last answered call to the store counts as reaching
// it.
inline constexpr TimeMs kStoreReachableMs = 4000;

// The intervals between pulls, and between pushes to one agent. A push carries
// about three changes at 82,000 a day; work that needs a newer configuration
// pulls it.
inline constexpr TimeMs kPullIntervalMs = 300;
inline constexpr TimeMs kPullTimeoutMs = 1500;
inline constexpr TimeMs kPushIntervalMs = 3000;

// The number of revisions whose documents an entry keeps, to answer a pull with
// a difference. An agent keeps only the one in force.
inline constexpr std::size_t kMaxKeptDocuments = 24;

// The revision that a member last confirmed to have in force, and the time when
// it was heard from.
struct Confirmation
{
  std::int64_t mIncarnation = 0;
  std::int64_t mRevision = 0;
  TimeMs mLastHeardMs = 0;
};

// A verified state of the head: at `mVerifiedMs` no revision above `mRevision`
// had been accepted.
struct VerifiedHead
{
  std::int64_t mRevision = 0;
  TimeMs mVerifiedMs = 0;
};

// A configuration as a JSON document without its revision, the hash of that
// document, and the patches to it by base revision.
struct KeptDocument
{
  std::int64_t mRevision = 0;
  nlohmann::json mDocument;
  std::uint64_t mHash = 0;
  std::map<std::int64_t, nlohmann::json> mPatches;
};

// A call to the store that has not been answered.
struct PendingCall
{
  std::int64_t mCallId = 0;
  TimeMs mSentMs = 0;
  TimeMs mTimeoutMs = 0;
};

// The configuration of a process and the state of its distribution.
// `mVerifiedMs` is the latest time at which the configuration in force was
// known to be the newest; `mPendingHeads` are verified states of the head with
// a revision that is not in force yet. `mStoreFailed` is set while the last
// call to the store has failed.
struct ConfigSync
{
  SyncOptions mOptions;
  Role mRole = Role::Entry;
  Configuration mConfig;
  std::optional<TimeMs> mVerifiedMs;
  std::deque<VerifiedHead> mPendingHeads;
  std::deque<KeptDocument> mKeptDocuments;
  std::int64_t mLastCallId = 0;
  std::optional<PendingCall> mHeadCall;
  std::optional<PendingCall> mSectionCall;
  std::optional<Head> mLoadingHead;
  std::optional<TimeMs> mStoreReachedMs;
  TimeMs mNextProbeMs = 0;
  bool mStoreFailed = false;
  std::string mPullHost;
  TimeMs mPullSentMs = -kPullTimeoutMs;
  bool mPullWholeDocument = false;
  std::map<std::string, Confirmation> mConfirmed;
  std::map<std::string, TimeMs> mLastPushMs;
  std::map<std::string, std::int64_t> mStartRevisions;
  TimeMs mNextStartQueryMs = 0;
};

// An action for the caller. WatchHead reads the head; the store answers when
// its revision exceeds `mRevision` or after `mWaitMs`. ReadSections reads
// `mKeys`. Pull and Push send `mDocument` to `mHost` as the request or the
// answer of /config. Applied reports that a revision is now in force. `mCallId`
// is passed back with the store's answer.
struct SyncAction
{
  enum class Kind
  {
    WatchHead,
    ReadSections,
    Pull,
    Push,
    Applied,
  };

  Kind mKind = Kind::WatchHead;
  std::int64_t mCallId = 0;
  std::string mHost;
  std::vector<std::string> mKeys;
  std::int64_t mRevision = 0;
  TimeMs mWaitMs = 0;
  nlohmann::json mDocument;
};

using SyncActions = std::vector<SyncAction>;

// Returns the actions that are due. An entry that has no configuration and
// cannot reach the store asks the listed entries for their revisions and pulls
// from the one with the newest, once more than half of the entries have
// answered that they have a configuration. Answers without one do not count:
// after a restart of most of the fleet, they would let a single lagging entry
// decide.
SyncActions
TickSync(ConfigSync& aSync,
         const FleetView& aView,
         const std::vector<std::string>& aListedEntries,
         TimeMs aNowMs);

// Handles the answer to a WatchHead: the text of the head, or nothing when
// there is no head. The answer to a call that timed out is ignored. The head
// counts as verified at the time of the request.
SyncActions
OnHead(ConfigSync& aSync,
       std::int64_t aCallId,
       const std::optional<std::string>& aText,
       TimeMs aNowMs);

// Handles the answer to a ReadSections: the values in the order of its keys.
SyncActions
OnSections(ConfigSync& aSync,
           std::int64_t aCallId,
           const std::vector<std::optional<std::string>>& aValues,
           TimeMs aNowMs);

// Handles the failure of a call to the store.
void
OnStoreFailed(ConfigSync& aSync, std::int64_t aCallId);

// Handles the sender's revision in any message of a peer; pulls from the peer
// when it is newer. `aUrgent` is set when a request waits for the
// configuration.
SyncActions
OnPeerRevision(ConfigSync& aSync,
               const Sender& aPeer,
               bool aUrgent,
               TimeMs aNowMs);

// Merges the state of the head in a gossip answer: at `aVerifiedMs`, on the
// local clock, no revision above the peer's `aRevision` had been accepted.
void
MergeVerifiedHead(ConfigSync& aSync,
                  std::int64_t aRevision,
                  TimeMs aVerifiedMs);

// The answer to a pull: a document with the local revision and, when that is
// newer than the puller's, one of a patch from the known revision, the
// top-level fields that differ, or the whole configuration. A request with
// `revision_only` receives only the revision.
nlohmann::json
AnswerPull(ConfigSync& aSync, const nlohmann::json& aRequest);

// Handles the answer to a pull, or a push, from a host. A difference that does
// not lead from the local revision to the one it names triggers a pull of the
// whole configuration.
SyncActions
OnPullAnswer(ConfigSync& aSync,
             const std::string& aHost,
             const nlohmann::json& aAnswer,
             TimeMs aNowMs);
void
OnPullFailed(ConfigSync& aSync, const std::string& aHost);

// Pushes the configuration to those agents that reported an older revision.
// `aAgents` are the agents that this entry answers for.
SyncActions
PushToAgents(ConfigSync& aSync,
             const std::vector<std::string>& aAgents,
             TimeMs aNowMs);

// Whether the store has answered this process within kStoreReachableMs.
bool
ReachesStore(const ConfigSync& aSync, TimeMs aNowMs);

enum class Freshness
{
  Fresh,
  StoreOutage,
  Stale,
  None,
};

inline constexpr std::array<EnumName<Freshness>, 4> kFreshnessNames{ {
  { Freshness::Fresh, "fresh" },
  { Freshness::StoreOutage, "store_outage" },
  { Freshness::Stale, "stale" },
  { Freshness::None, "none" },
} };

// Whether an entry may accept new work on its configuration: with Fresh and
// StoreOutage it may.
Freshness
EvaluateFreshness(const ConfigSync& aSync,
                  const FleetView& aView,
                  TimeMs aNowMs);

// What a receiver does with work, by the revision that the sender has in force.
enum class RevisionCheck
{
  Accept,
  PullFirst,
  RefuseOlder,
  RefuseStale,
  RefuseNoConfiguration,
};

// Compares only the sender's revision with the local one.
RevisionCheck
CheckSenderRevision(const ConfigSync& aSync, std::int64_t aRevision);

// Sent by an entry with each piece of work, so that an agent that was paused
// does not run work that was queued meanwhile on an outdated configuration.
// `mReportClockMs` is the time of the agent's last report, on the agent's
// clock: the work was sent later than that. `mHeadAgeMs` is the age of the
// entry's last verified state of the head, 0 in an outage of the store.
struct WorkFreshness
{
  std::int64_t mRevision = 0;
  TimeMs mReportClockMs = 0;
  TimeMs mHeadAgeMs = 0;
};

WorkFreshness
MakeWorkFreshness(const ConfigSync& aSync,
                  const FleetView& aView,
                  TimeMs aReportClockMs,
                  TimeMs aNowMs);

// What an agent does with work. When queued work starts, the agent checks
// again, with EvaluateFreshness and an empty view.
RevisionCheck
CheckWorkFreshness(ConfigSync& aSync,
                   const WorkFreshness& aFreshness,
                   TimeMs aNowMs);

// The local status for gossip messages. `aAgents` are the agents that this
// entry answers for.
GossipStatus
MakeGossipStatus(const ConfigSync& aSync,
                 const std::vector<std::string>& aAgents,
                 TimeMs aNowMs);

// Stores the revision that a member has in force. Messages of an older
// incarnation, and lower revisions of the same one, are ignored.
void
OnConfirmed(ConfigSync& aSync, const Sender& aPeer, TimeMs aNowMs);
void
RemoveMember(ConfigSync& aSync, const std::string& aHost);

// The expected members that have not confirmed a revision; empty when it is in
// force on all of them.
std::vector<std::string>
FindUnconfirmed(const ConfigSync& aSync,
                const std::vector<std::string>& aExpected,
                std::int64_t aRevision);

} // namespace savory
