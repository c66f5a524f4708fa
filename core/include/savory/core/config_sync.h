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

// Parts of the mechanism that tests take away to show that a check fails
// without them. Every process runs with all of them.
struct SyncOptions
{
  bool mApplyOnlyNewer = true;
  bool mStartNeedsMajority = true;
  bool mRefuseWhenStale = true;
  bool mRefuseOlderSender = true;
};

// The age of the last known state of the head beyond which an entry refuses
// new work. It is the bound of 9 s by which a process that is cut off stops.
inline constexpr TimeMs kMaxHeadAgeMs = 9000;

// The length of a watch on the head, and the time after which a read of the
// head is taken as failed.
inline constexpr TimeMs kWatchDurationMs = 1000;
inline constexpr TimeMs kStoreTimeoutMs = 1000;

// An entry that does not watch reads the head itself when its last known state
// is older than the first, and then once in each of the second.
inline constexpr TimeMs kProbeHeadAgeMs = 5500;
inline constexpr TimeMs kProbeIntervalMs = 2000;

// How long a call of the store that was answered counts as reaching it.
inline constexpr TimeMs kStoreReachableMs = 4000;

// Time between pulls, and between pushes to one agent. A push holds about three
// changes at 82,000 a day; work that needs a newer configuration pulls it.
inline constexpr TimeMs kPullIntervalMs = 300;
inline constexpr TimeMs kPullTimeoutMs = 1500;
inline constexpr TimeMs kPushIntervalMs = 3000;

// Revisions of which an entry keeps the document, to send only differences. An
// agent keeps the one in force.
inline constexpr std::size_t kMaxKeptDocuments = 24;

// The last confirmed revision of a member. `mLastHeardMs` is when it was heard.
struct Confirmation
{
  std::int64_t mIncarnation = 0;
  std::int64_t mRevision = 0;
  TimeMs mLastHeardMs = 0;
};

// A state of the head that is known: at `mVerifiedMs` no revision above
// `mRevision` was accepted.
struct VerifiedHead
{
  std::int64_t mRevision = 0;
  TimeMs mVerifiedMs = 0;
};

// A configuration as a document, and the patches to it from older ones.
struct KeptDocument
{
  std::int64_t mRevision = 0;
  nlohmann::json mDocument;
  std::uint64_t mHash = 0;
  std::map<std::int64_t, nlohmann::json> mPatches;
};

// A call of the store that has no answer yet.
struct PendingCall
{
  std::int64_t mCallId = 0;
  TimeMs mSentMs = 0;
  TimeMs mTimeoutMs = 0;
};

// What a process knows of the configuration. `mVerifiedMs` is the latest time
// at which the configuration in force was the newest for certain;
// `mStoreFailed` says that the last call of the store failed.
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

// What the process is to do. WatchHead reads the head, answered when its
// revision exceeds `mRevision` or after `mWaitMs`. Pull and Push send
// `mDocument` to a host as the request or the answer of /config. Applied tells
// that a revision is in force. `mCallId` is given back with a store's answer.
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

// Makes the calls that are due. A failed store leaves an entry without a
// configuration to ask the listed entries: it pulls from the one with the
// newest once more than half of the list have answered that they have one.
// Answers without a configuration do not count, because after a restart of
// most of the fleet they would let a single lagging entry decide.
SyncActions
TickSync(ConfigSync& aSync,
         const FleetView& aView,
         const std::vector<std::string>& aListed,
         TimeMs aNowMs);

// Takes the text of the head that a WatchHead gave, or nothing when there is no
// head. The answer of a call that timed out is ignored: the time that it
// verifies is that of its request.
SyncActions
OnHead(ConfigSync& aSync,
       std::int64_t aCallId,
       const std::optional<std::string>& aText,
       TimeMs aNowMs);

// Takes the values of a ReadSections in the order of its keys.
SyncActions
OnSections(ConfigSync& aSync,
           std::int64_t aCallId,
           const std::vector<std::optional<std::string>>& aValues,
           TimeMs aNowMs);

// Takes a call of the store that failed.
void
OnStoreFailed(ConfigSync& aSync, std::int64_t aCallId);

// Takes the revision that any message of a peer told. Pulls from the peer when
// it is newer. `aUrgent` is set when a request waits for the configuration.
SyncActions
OnPeerRevision(ConfigSync& aSync,
               const Sender& aPeer,
               bool aUrgent,
               TimeMs aNowMs);

// Takes the state of the head that a gossip answer told: at `aAtMs` on the own
// clock nothing above the peer's revision was accepted.
void
MergeVerifiedHead(ConfigSync& aSync, std::int64_t aRevision, TimeMs aAtMs);

// Answers a pull: a document that holds the revision and, if that is newer, a
// JSON patch from the known revision, or the sections that differ.
nlohmann::json
AnswerPull(ConfigSync& aSync, const nlohmann::json& aRequest);

// Takes the answer of a pull, or a push, from a host. A document that does not
// lead from the own revision to the one it names leads to a pull of the whole.
SyncActions
OnPullAnswer(ConfigSync& aSync,
             const std::string& aHost,
             const nlohmann::json& aAnswer,
             TimeMs aNowMs);
void
OnPullFailed(ConfigSync& aSync, const std::string& aHost);

// Pushes the configuration to agents that have an older one, by the last
// reports. The caller names the agents that this entry answers for.
SyncActions
PushToAgents(ConfigSync& aSync,
             const std::vector<std::string>& aAgents,
             TimeMs aNowMs);

// Whether this process has had a recent answer of the store.
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

// Whether an entry may take new work on its configuration.
Freshness
EvaluateFreshness(const ConfigSync& aSync,
                  const FleetView& aView,
                  TimeMs aNowMs);

// What a receiver does with work of a sender that has a revision in force.
enum class RevisionCheck
{
  Accept,
  PullFirst,
  RefuseOlder,
  RefuseStale,
  RefuseNoConfiguration,
};

// Compares the sender's revision alone.
RevisionCheck
CheckSenderRevision(const ConfigSync& aSync, std::int64_t aRevision);

// What an entry tells with each piece of work, so that an agent that was paused
// does not run what waited for it meanwhile, on an old configuration.
// `mReportClockMs` is the time that the agent's last report told, on the
// agent's clock: the work was sent later than that. `mHeadAgeMs` is the age of
// the entry's last known state of the head, 0 in an outage of the store.
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

// What an agent does with work. It judges again, with EvaluateFreshness and an
// empty view, when work that waited in its queue starts.
RevisionCheck
CheckWorkFreshness(ConfigSync& aSync,
                   const WorkFreshness& aStamp,
                   TimeMs aNowMs);

// What goes into the own gossip messages. `aAgents` are the agents that this
// entry answers for.
GossipStatus
MakeGossipStatus(const ConfigSync& aSync,
                 const std::vector<std::string>& aAgents,
                 TimeMs aNowMs);

// Keeps what a member has in force. A message of an older incarnation and a
// lower revision of the same one are ignored.
void
OnConfirmed(ConfigSync& aSync, const Sender& aPeer, TimeMs aNowMs);
void
RemoveMember(ConfigSync& aSync, const std::string& aHost);

// The members that have not confirmed a revision, of those expected to; empty
// when it is in force everywhere.
std::vector<std::string>
FindUnconfirmed(const ConfigSync& aSync,
                const std::vector<std::string>& aExpected,
                std::int64_t aRevision);

} // namespace savory
