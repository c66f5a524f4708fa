#pragma once

#include "savory/core/types.h"
#include "savory/core/wire.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

enum class Role
{
  Entry,
  Agent,
};

inline constexpr std::array<EnumName<Role>, 2> kRoleNames{ {
  { Role::Entry, "entry" },
  { Role::Agent, "agent" },
} };

// One host of the platform's host list. The list lags behind the real fleet.
struct HostRow
{
  std::string mHost;
  Role mRole = Role::Entry;
  std::string mAddress;
  std::string mZone;
  std::string mRegion;
  bool mLeaving = false;
};

// The state that an entry publishes about itself by gossip. `mSequence` counts
// the changes of the row within an incarnation. `mDemand` holds the requests
// per second of each customer at this entry; `mSections` holds the data that
// other modules publish, by section name.
struct EntryRow
{
  std::string mHost;
  std::int64_t mIncarnation = 0;
  std::int64_t mSequence = 0;
  std::string mAddress;
  std::string mZone;
  std::string mRegion;
  bool mLeaving = false;
  std::map<std::string, double> mDemand;
  nlohmann::json mSections = nlohmann::json::object();
};

// The state of a peer as known to this process. `mLastHeardMs` is the latest
// time, on the clock of this process, at which the member is known to have been
// alive. `mRevision` is a revision that the member and the agents it answers
// for had confirmed, and `mReachesStore` whether it had a recent answer from
// the store. `mListed` and `mListLeaving` come from the host list. `mRowHash`
// is 0 while only the host list names the member.
struct Member
{
  EntryRow mRow;
  Role mRole = Role::Entry;
  TimeMs mLastHeardMs = 0;
  std::int64_t mRevision = 0;
  bool mReachesStore = false;
  bool mListed = false;
  bool mListLeaving = false;
  std::uint64_t mHostHash = 0;
  std::uint64_t mRowHash = 0;
};

// Maximum number of members of a table, and of bytes in the sections of a row.
// A row beyond either limit is refused, so that no peer can exhaust the memory.
inline constexpr std::size_t kMaxMembers = 20000;
inline constexpr std::size_t kMaxSectionBytes = 4096;

// Number of peers that an entry asks per gossip interval, and that interval.
// Every request asks for rows and heartbeats; a request without digests is
// answered with the GossipStatus only.
inline constexpr int kGossipFanOut = 3;
inline constexpr TimeMs kGossipIntervalMs = 1000;

// Not used at present, because every request asks for heartbeats. If only one
// request in three did, all would have to ask for them once the last known
// state of the head is older than this: the staleness rule then needs
// heartbeats of more than half of the entries that are at most 3 s old, and one
// request per second does not achieve that with 410 entries. In normal
// operation the age reaches up to 3.1 s with 412 entries.
inline constexpr TimeMs kAllHeartbeatsAgeMs = 4500;

// Age of the last heartbeat above which it proves nothing about the present,
// above which the entry counts as gone, and above which its row is removed.
// Rows of entries that are gone are neither sent nor merged, so that no removed
// row comes back from a peer.
inline constexpr TimeMs kHeartbeatTimeoutMs = 3000;
inline constexpr TimeMs kMemberTimeoutMs = 15000;
inline constexpr TimeMs kMemberRemovalMs = 60000;

// Mean time between two publications of the local row that are not urgent, per
// known entry. The whole fleet then publishes about 3 rows per second whatever
// its size, and demand is up to 130 s old with 410 entries.
inline constexpr TimeMs kPublishIntervalPerEntryMs = 320;

// Time for which an entry sends its own row with each request after it starts
// and after it begins to leave, so that peers need not find the difference
// first. After an urgent section it does so for one gossip interval.
inline constexpr TimeMs kAnnounceMs = 10000;

// Maximum number of rows in one answer. A restarted entry receives the
// remaining ones with its next requests.
inline constexpr std::size_t kMaxAnswerRows = 64;

// The membership table of an entry; it includes the entry itself. `mSelf` is
// the local row with the changes that are not published yet, which `mDirty`
// marks. `mListKnown` is set once a host list was merged.
struct Membership
{
  EntryRow mSelf;
  TimeMs mNextPublishMs = 0;
  TimeMs mAnnounceUntilMs = 0;
  TimeMs mNextRequestMs = 0;
  std::int64_t mRequests = 0;
  bool mDirty = false;
  bool mListKnown = false;
  std::map<std::string, Member, std::less<>> mMembers;
};

// The status of an entry, which each of its gossip messages carries.
// `mRevision` is the revision that the entry has in force, `mConfirmed` the
// lowest revision that the entry and its agents have in force. `mHeadAgeMs` is
// the time since the head was known to be in a state that is not newer than
// `mRevision`; it is empty when no such state is known.
struct GossipStatus
{
  std::int64_t mRevision = 0;
  std::int64_t mConfirmed = 0;
  std::optional<TimeMs> mHeadAgeMs;
  bool mReachesStore = false;
};

// A gossip request that is due: the peer to ask and the message to send.
struct GossipRequest
{
  std::string mHost;
  std::string mAddress;
  nlohmann::json mDocument;
};

// The sender of a gossip message and its status.
struct GossipSender
{
  std::string mHost;
  std::int64_t mIncarnation = 0;
  GossipStatus mStatus;
};

Membership
StartMembership(EntryRow aSelf, TimeMs aNowMs);

// Replaces the previous host list. A host that the list marks as leaving counts
// as leaving whatever its gossip row says.
void
MergeHostList(Membership& aTable,
              const std::vector<HostRow>& aHosts,
              TimeMs aNowMs);

// Merges the report of an agent. Reports of an older incarnation are ignored;
// within one incarnation, an agent that is leaving never becomes live again.
void
MergeReport(Membership& aTable, const AgentReport& aReport, TimeMs aNowMs);

// Merges the row of an entry that was alive at `aLastHeardMs`. The higher
// incarnation wins, then the higher sequence; within one incarnation, an entry
// that is leaving never becomes live again. Returns whether the row was newer
// than the known one.
bool
MergeRow(Membership& aTable, EntryRow aRow, TimeMs aLastHeardMs);

// Change the local row. Leaving and an urgent section are published at once,
// other changes with the next periodic publication. SetSection removes a
// section whose value is null; it changes nothing and returns false when the
// sections would exceed kMaxSectionBytes.
void
SetLeaving(Membership& aTable, TimeMs aNowMs);
bool
SetSection(Membership& aTable,
           const std::string& aName,
           nlohmann::json aValue,
           bool aUrgent,
           TimeMs aNowMs);
void
SetDemand(Membership& aTable, std::map<std::string, double> aDemand);

// When the next gossip request is due, removes the members that a known host
// list lacks and that were not heard from for longer than kMemberRemovalMs,
// publishes the local row if that is due, and returns the request. Returns
// nothing when no request is due or there is no peer.
std::optional<GossipRequest>
TickMembership(Membership& aTable,
               const GossipStatus& aStatus,
               TimeMs aNowMs,
               std::mt19937_64& aRandom);

// Answers a gossip request with the rows that the requester lacks and with the
// heartbeats of the rows that both know. Fills `aSender` from the request.
tl::expected<nlohmann::json, WireError>
AnswerGossip(Membership& aTable,
             const nlohmann::json& aRequest,
             const GossipStatus& aStatus,
             TimeMs aNowMs,
             GossipSender& aSender);

// Merges the answer to a request that was sent at `aSentMs`. All ages in the
// answer are counted from that time, so that a delayed answer makes members
// look older and never younger.
tl::expected<GossipSender, WireError>
MergeGossipAnswer(Membership& aTable,
                  const nlohmann::json& aAnswer,
                  TimeMs aSentMs,
                  TimeMs aNowMs);

// Whether a member accepts new work: it is known from gossip or a report, not
// leaving and not gone.
bool
IsLive(const Membership& aTable, const Member& aMember, TimeMs aNowMs);

// The names of the entries in the host list, without the local entry.
std::vector<std::string>
ListedEntries(const Membership& aTable);

// The names of the live entries of a region, or of all regions if `aRegion` is
// empty. The local entry is included.
std::vector<std::string>
LiveEntries(const Membership& aTable, std::string_view aRegion, TimeMs aNowMs);

// The input of the staleness rule: the number of known entries, the number of
// those with a heartbeat within kHeartbeatTimeoutMs (the local entry included),
// and whether any of the latter other than the local entry reaches the store.
// `mIsWatcher` is whether this entry watches the head in the store.
struct FleetView
{
  std::size_t mEntries = 0;
  std::size_t mEntriesWithHeartbeat = 0;
  bool mPeerReachesStore = false;
  bool mIsWatcher = false;
};

// Number of live entries per region that watch the head in the store: those
// with the highest rendezvous ranks.
inline constexpr std::size_t kWatchersPerRegion = 3;

FleetView
ViewFleet(const Membership& aTable, TimeMs aNowMs);

// The host with the highest rendezvous hash for a key; empty without hosts.
std::string
RendezvousOwner(const std::vector<std::string>& aHosts, std::string_view aKey);

// The share in [0, 1] of a customer's demand that arrives at the local entry;
// an equal share per live entry while no demand is known.
double
LocalDemandShare(const Membership& aTable,
                 const std::string& aCustomer,
                 TimeMs aNowMs);

nlohmann::json
ToJson(const EntryRow& aRow);
tl::expected<EntryRow, WireError>
ParseEntryRow(const nlohmann::json& aRow);

// The membership table as shown in the state dump.
nlohmann::json
ToJson(const Membership& aTable, TimeMs aNowMs);

} // namespace savory
