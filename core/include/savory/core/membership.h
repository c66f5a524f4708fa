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

// A host of the platform's list, which lags behind the truth.
struct HostRow
{
  std::string mHost;
  Role mRole = Role::Entry;
  std::string mAddress;
  std::string mZone;
  std::string mRegion;
  bool mLeaving = false;
};

// What one entry tells of itself to the others. `mSequence` counts the changes
// of the row within an incarnation. `mDemand` holds the requests per second of
// each customer at this entry; `mSections` holds what other modules add, by
// name.
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

// A member as this process knows it. `mLastHeardMs` is a time at which the
// member was alive for certain, on the clock of this process; `mRevision` is a
// revision that it and the agents it answers for had confirmed; `mReachesStore`
// is whether it had a recent answer of the store. `mListed` and `mListLeaving`
// are of the host list. `mRowHash` is 0 while only the host list names it.
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

// The most members of a table and the most bytes of a row's sections. A row
// beyond either is refused, so that no peer can exhaust the memory.
inline constexpr std::size_t kMaxMembers = 20000;
inline constexpr std::size_t kMaxSectionBytes = 4096;

// Peers that an entry asks in each round of gossip, and the length of a round.
// One request in three asks for rows and beats, the others for revision and
// age of the head alone.
inline constexpr int kGossipFanOut = 3;
inline constexpr TimeMs kGossipIntervalMs = 1000;

// The age of the last known state of the head beyond which all requests ask
// for beats. The staleness rule then needs to have heard more than half of the
// entries within 3 s, for which one request a second is too few at 410.
// Ordinary ages are up to 3.1 s at 412 entries.
inline constexpr TimeMs kAllHeartbeatsAgeMs = 4500;

// The age beyond which a beat says nothing of the present, the age at which an
// entry counts as gone, and the age at which its row is dropped. Rows that are
// as good as gone are neither sent nor taken, so that none comes back.
inline constexpr TimeMs kHeartbeatTimeoutMs = 3000;
inline constexpr TimeMs kMemberTimeoutMs = 15000;
inline constexpr TimeMs kMemberRemovalMs = 60000;

// Time between changes of a row that are not urgent, for each known entry: the
// fleet then publishes about 3 rows a second whatever its size, and demand is
// up to 130 s old at 410 entries.
inline constexpr TimeMs kPublishIntervalPerEntryMs = 320;

// An entry sends its own row with each request for this long after it starts
// and after an urgent change, so that the others need not find it first.
inline constexpr TimeMs kAnnounceMs = 10000;

// The most rows of one answer. A restarted entry gets the others with its next
// requests.
inline constexpr std::size_t kMaxAnswerRows = 64;

// The members that an entry knows, its own row among them. `mSelf` is the own
// row as it is to be published; `mListKnown` is set once there was a host list.
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

// What an entry tells beside its rows in each gossip message. `mRevision` is
// the one it has in force, `mConfirmed` the lowest of it and of those its
// agents have in force. `mHeadAgeMs` is the time since a state of the head
// that is not newer than `mRevision`; nothing when there is none.
struct GossipStatus
{
  std::int64_t mRevision = 0;
  std::int64_t mConfirmed = 0;
  std::optional<TimeMs> mHeadAgeMs;
  bool mReachesStore = false;
};

// A gossip request on its way: whom to ask and what to send.
struct GossipRequest
{
  std::string mHost;
  std::string mAddress;
  nlohmann::json mDocument;
};

// What a gossip message told of its sender.
struct GossipSender
{
  std::string mHost;
  std::int64_t mIncarnation = 0;
  GossipStatus mStatus;
};

Membership
StartMembership(EntryRow aSelf, TimeMs aNowMs);

// Takes the host list in place of the one before. A host that the list calls
// leaving is leaving whatever the gossip says.
void
MergeHostList(Membership& aTable,
              const std::vector<HostRow>& aHosts,
              TimeMs aNowMs);

// Takes an agent's report. Reports of an older incarnation are ignored, and
// leaving wins over live within one.
void
MergeReport(Membership& aTable, const AgentReport& aReport, TimeMs aNowMs);

// Takes a row of an entry that was alive at `aLastHeardMs`. A higher
// incarnation wins, then a higher sequence; leaving stays within an
// incarnation. Returns whether the row was newer than the known one.
bool
MergeRow(Membership& aTable, EntryRow aRow, TimeMs aLastHeardMs);

// Changes the own row. Leaving and an urgent section are published at once,
// other changes with the next row that the spacing allows. A section of more
// than kMaxSectionBytes is refused.
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

// Drops members that are gone, publishes the own row when it is due, and gives
// the gossip request that is due, if any.
std::optional<GossipRequest>
TickMembership(Membership& aTable,
               const GossipStatus& aStatus,
               TimeMs aNowMs,
               std::mt19937_64& aRandom);

// Answers a gossip request: rows which the requester lacks, and the beats of
// the rows that both know. Fills `aSender` with what the request told.
tl::expected<nlohmann::json, WireError>
AnswerGossip(Membership& aTable,
             const nlohmann::json& aRequest,
             const GossipStatus& aStatus,
             TimeMs aNowMs,
             GossipSender& aSender);

// Takes the answer of a request that was sent at `aSentMs`. All ages of the
// answer count from then, so that a delay of the answer makes them older.
tl::expected<GossipSender, WireError>
MergeGossipAnswer(Membership& aTable,
                  const nlohmann::json& aAnswer,
                  TimeMs aSentMs,
                  TimeMs aNowMs);

// Whether a member takes new work: known, not leaving and not gone.
bool
IsLive(const Membership& aTable, const Member& aMember, TimeMs aNowMs);

// The entries that the host list names, the own one not among them.
std::vector<std::string>
ListedEntries(const Membership& aTable);

// The names of the live entries of a region, or of all with an empty one; the
// own name is among them.
std::vector<std::string>
LiveEntries(const Membership& aTable, std::string_view aRegion, TimeMs aNowMs);

// What the fleet looks like to the staleness rule: entries that count, those
// heard from within kHeartbeatTimeoutMs including the own one, and whether any
// of those reaches the store, the own one not included.
struct FleetView
{
  std::size_t mEntries = 0;
  std::size_t mEntriesWithHeartbeat = 0;
  bool mPeerReachesStore = false;
  bool mIsWatcher = false;
};

// A host is a watcher of the store's head when its rendezvous rank is among
// the first `kWatchersPerRegion` live entries of its region.
inline constexpr std::size_t kWatchersPerRegion = 3;

FleetView
ViewFleet(const Membership& aTable, TimeMs aNowMs);

// The host with the highest rendezvous rank for a key; empty for no hosts.
std::string
RendezvousOwner(const std::vector<std::string>& aHosts, std::string_view aKey);

// The share in [0, 1] of a customer's demand that the own entry sees; an equal
// share while no demand is known.
double
LocalDemandShare(const Membership& aTable,
                 const std::string& aCustomer,
                 TimeMs aNowMs);

nlohmann::json
ToJson(const EntryRow& aRow);
tl::expected<EntryRow, WireError>
ParseEntryRow(const nlohmann::json& aRow);

// The table for the state dump.
nlohmann::json
ToJson(const Membership& aTable, TimeMs aNowMs);

} // namespace savory
