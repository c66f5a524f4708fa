#include "savory/core/membership.h"

#include "savory/core/identity.h"

#include <algorithm>
#include <cmath>

namespace savory {

using nlohmann::json;

namespace {

// A heartbeat is encoded in one byte: 4 bits for the age, 1 bit for "reaches
// the store" and 3 bits for the number of revisions by which the member is
// behind the sender of the answer. The highest value of age and lag means "more
// than the values below". The steps of the age are small below 3 s, the limit
// of the staleness rule, and extend up to kMemberTimeoutMs.
constexpr std::array<TimeMs, 15> kAgeStepsMs{ 0,    250,  500,  750,   1000,
                                              1250, 1500, 2000, 2500,  3000,
                                              4500, 6000, 8000, 10500, 13500 };
constexpr std::size_t kAgeCodeOlder = kAgeStepsMs.size();
constexpr std::int64_t kMaxRevisionLag = 7;

// Maximum number of customers in a row, and of requests per second of one.
constexpr std::size_t kMaxDemandRows = 256;
constexpr double kMaxDemandPerSecond = 1e9;

constexpr std::size_t kMinBuckets = 16;
constexpr std::size_t kMaxBuckets = 4096;

std::uint64_t
HashRow(const EntryRow& aRow)
{
  std::string text = aRow.mHost + '\n' + std::to_string(aRow.mIncarnation) +
                     '\n' + std::to_string(aRow.mSequence);
  return Hash64(text) | 1;
}

// Mixes all bits of a hash (the finalizer of SplitMix64).
std::uint64_t
MixBits(std::uint64_t aValue)
{
  aValue = (aValue ^ aValue >> 30) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ aValue >> 27) * 0x94d049bb133111ebULL;
  return aValue ^ aValue >> 31;
}

// The row on the wire. Demand is in tenths of a request per second: that takes
// 1 to 3 bytes, a number with a fraction 9.
json
EncodeRow(const EntryRow& aRow)
{
  json demand = json::object();
  for (const auto& [customer, rate] : aRow.mDemand) {
    demand[customer] =
      std::llround(std::clamp(rate, 0., kMaxDemandPerSecond) * 10);
  }
  return json::array({ aRow.mHost,
                       aRow.mIncarnation,
                       aRow.mSequence,
                       aRow.mAddress,
                       aRow.mZone,
                       aRow.mRegion,
                       aRow.mLeaving,
                       std::move(demand),
                       aRow.mSections });
}

// Throws json::exception if the row has another shape or exceeds a limit.
EntryRow
DecodeRow(const json& aRow)
{
  EntryRow row{
    .mHost = aRow.at(0).get<std::string>(),
    .mIncarnation = aRow.at(1).get<std::int64_t>(),
    .mSequence = aRow.at(2).get<std::int64_t>(),
    .mAddress = aRow.at(3).get<std::string>(),
    .mZone = aRow.at(4).get<std::string>(),
    .mRegion = aRow.at(5).get<std::string>(),
    .mLeaving = aRow.at(6).get<bool>(),
    .mDemand = {},
    .mSections = aRow.at(8),
  };
  for (const auto& [customer, tenths] : aRow.at(7).items()) {
    row.mDemand[customer] =
      std::clamp(tenths.get<double>() / 10, 0., kMaxDemandPerSecond);
  }
  if (!row.mSections.is_object() || row.mHost.empty() ||
      row.mDemand.size() > kMaxDemandRows ||
      row.mSections.dump().size() > kMaxSectionBytes) {
    throw json::other_error::create(
      501, "row has no host or malformed sections, or exceeds a limit", &aRow);
  }
  return row;
}

// The member with a name, which is added if needed; null if the table is full.
Member*
FindOrAddMember(Membership& aTable, const std::string& aHost)
{
  auto found = aTable.mMembers.find(aHost);
  if (found != aTable.mMembers.end()) {
    return &found->second;
  }
  if (aTable.mMembers.size() >= kMaxMembers) {
    return nullptr;
  }
  Member& member = aTable.mMembers[aHost];
  member.mRow.mHost = aHost;
  member.mHostHash = Hash64(aHost);
  return &member;
}

// Whether gossip carries the row of a member.
bool
HasRow(const Member& aMember, TimeMs aNowMs)
{
  return aMember.mRole == Role::Entry && aMember.mRowHash != 0 &&
         aNowMs - aMember.mLastHeardMs <= kMemberTimeoutMs;
}

// The rows of a table, hashed into buckets by host. If two tables have the same
// digest of a bucket, they hold the same rows in it, except with a probability
// of 1/256. Through the nonce, such a collision affects other rows in each
// exchange.
struct DigestBuckets
{
  std::vector<std::uint8_t> mDigests;
  std::vector<std::vector<const Member*>> mMembers;
};

DigestBuckets
MakeDigestBuckets(const Membership& aTable,
                  std::size_t aCount,
                  std::uint64_t aNonce,
                  TimeMs aNowMs,
                  bool aWithMembers)
{
  DigestBuckets buckets;
  buckets.mDigests.resize(aCount);
  buckets.mMembers.resize(aWithMembers ? aCount : 0);
  for (const auto& [host, member] : aTable.mMembers) {
    if (!HasRow(member, aNowMs)) {
      continue;
    }
    std::size_t bucket = member.mHostHash % aCount;
    buckets.mDigests[bucket] ^=
      static_cast<std::uint8_t>(MixBits(member.mRowHash ^ aNonce));
    if (aWithMembers) {
      buckets.mMembers[bucket].push_back(&member);
    }
  }
  return buckets;
}

// The heartbeat of all members of a bucket: the highest age, the lowest
// revision and whether any member reaches the store. No member then looks
// better than it is.
std::uint8_t
EncodeHeartbeat(const std::vector<const Member*>& aMembers,
                std::int64_t aRevision,
                TimeMs aNowMs)
{
  TimeMs age = 0;
  std::int64_t lag = 0;
  bool reachesStore = false;
  for (const Member* member : aMembers) {
    age = std::max(age, aNowMs - member->mLastHeardMs);
    lag = std::max(lag, aRevision - member->mRevision);
    reachesStore = reachesStore || member->mReachesStore;
  }
  auto code = std::lower_bound(kAgeStepsMs.begin(), kAgeStepsMs.end(), age) -
              kAgeStepsMs.begin();
  return static_cast<std::uint8_t>(code << 4 | (reachesStore ? 8 : 0) |
                                   std::min(lag, kMaxRevisionLag));
}

// Updates the local member from the status.
void
UpdateSelf(Membership& aTable, const GossipStatus& aStatus, TimeMs aNowMs)
{
  Member& self = aTable.mMembers[aTable.mSelf.mHost];
  self.mLastHeardMs = aNowMs;
  self.mRevision = aStatus.mConfirmed;
  self.mReachesStore = aStatus.mReachesStore;
}

void
PublishSelf(Membership& aTable)
{
  aTable.mDirty = false;
  aTable.mSelf.mSequence += 1;
  Member& self = aTable.mMembers[aTable.mSelf.mHost];
  self.mRow = aTable.mSelf;
  self.mRowHash = HashRow(self.mRow);
}

json
StatusToJson(const Membership& aTable, const GossipStatus& aStatus)
{
  json message = { { "from", aTable.mSelf.mHost },
                   { "incarnation", aTable.mSelf.mIncarnation },
                   { "revision", aStatus.mRevision },
                   { "confirmed", aStatus.mConfirmed },
                   { "store", aStatus.mReachesStore } };
  if (aStatus.mHeadAgeMs) {
    message["verified"] = *aStatus.mHeadAgeMs;
  }
  return message;
}

// Throws json::exception if the message has another shape.
GossipSender
DecodeStatus(const json& aMessage)
{
  GossipSender sender{
    .mHost = aMessage.at("from").get<std::string>(),
    .mIncarnation = aMessage.at("incarnation").get<std::int64_t>(),
    .mStatus = { .mRevision = aMessage.at("revision").get<std::int64_t>(),
                 .mConfirmed = aMessage.at("confirmed").get<std::int64_t>(),
                 .mHeadAgeMs = {},
                 .mReachesStore = aMessage.at("store").get<bool>() },
  };
  auto verified = aMessage.find("verified");
  if (verified != aMessage.end()) {
    sender.mStatus.mHeadAgeMs =
      std::max<TimeMs>(0, verified->get<std::int64_t>());
  }
  return sender;
}

tl::unexpected<WireError>
MakeDecodeError(const json::exception& aError)
{
  return tl::unexpected(
    WireError{ WireErrorCode::MissingField, aError.what() });
}

} // namespace

Membership
StartMembership(EntryRow aSelf, TimeMs aNowMs)
{
  Membership table;
  table.mSelf = std::move(aSelf);
  table.mAnnounceUntilMs = aNowMs + kAnnounceMs;
  table.mNextRequestMs = aNowMs;
  Member* self = FindOrAddMember(table, table.mSelf.mHost);
  self->mLastHeardMs = aNowMs;
  PublishSelf(table);
  return table;
}

void
MergeHostList(Membership& aTable,
              const std::vector<HostRow>& aHosts,
              TimeMs aNowMs)
{
  aTable.mListKnown = true;
  for (auto& [host, member] : aTable.mMembers) {
    member.mListed = false;
    member.mListLeaving = false;
  }
  for (const auto& host : aHosts) {
    bool known = aTable.mMembers.contains(host.mHost);
    Member* member = FindOrAddMember(aTable, host.mHost);
    if (!member) {
      continue;
    }
    if (!known) {
      member->mLastHeardMs = aNowMs - kMemberTimeoutMs - 1;
    }
    member->mListed = true;
    member->mListLeaving = host.mLeaving;
    member->mRole = host.mRole;
    // The host's own row is more reliable than the list about address and zone.
    if (member->mRowHash == 0) {
      member->mRow.mAddress = host.mAddress;
      member->mRow.mZone = host.mZone;
      member->mRow.mRegion = host.mRegion;
    }
  }
}

void
MergeReport(Membership& aTable, const AgentReport& aReport, TimeMs aNowMs)
{
  Member* member = FindOrAddMember(aTable, aReport.mSender.mHost);
  if (!member || aReport.mSender.mIncarnation < member->mRow.mIncarnation) {
    return;
  }
  bool sameIncarnation =
    aReport.mSender.mIncarnation == member->mRow.mIncarnation;
  member->mRole = Role::Agent;
  member->mRow.mLeaving =
    aReport.mLeaving || (sameIncarnation && member->mRow.mLeaving);
  member->mRow.mIncarnation = aReport.mSender.mIncarnation;
  member->mRow.mAddress = aReport.mAddress;
  member->mRow.mZone = aReport.mZone;
  member->mLastHeardMs = aNowMs;
  member->mRevision = aReport.mSender.mRevision;
}

bool
MergeRow(Membership& aTable, EntryRow aRow, TimeMs aLastHeardMs)
{
  if (aRow.mHost == aTable.mSelf.mHost) {
    return false;
  }
  bool known = aTable.mMembers.contains(aRow.mHost);
  Member* member = FindOrAddMember(aTable, aRow.mHost);
  if (!member) {
    return false;
  }
  const EntryRow& old = member->mRow;
  bool sameIncarnation = aRow.mIncarnation == old.mIncarnation;
  bool newer = member->mRowHash == 0 || aRow.mIncarnation > old.mIncarnation ||
               (sameIncarnation && aRow.mSequence > old.mSequence);
  bool confirmsLiveness = sameIncarnation || newer;
  if (confirmsLiveness) {
    member->mLastHeardMs =
      known ? std::max(member->mLastHeardMs, aLastHeardMs) : aLastHeardMs;
  }
  if (newer) {
    if (!sameIncarnation) {
      member->mRevision = 0;
      member->mReachesStore = false;
    }
    aRow.mLeaving = aRow.mLeaving || (sameIncarnation && old.mLeaving);
    member->mRole = Role::Entry;
    member->mRow = std::move(aRow);
    member->mRowHash = HashRow(member->mRow);
  }
  return newer;
}

void
SetLeaving(Membership& aTable, TimeMs aNowMs)
{
  aTable.mSelf.mLeaving = true;
  aTable.mAnnounceUntilMs = aNowMs + kAnnounceMs;
  PublishSelf(aTable);
}

bool
SetSection(Membership& aTable,
           const std::string& aName,
           json aValue,
           bool aUrgent,
           TimeMs aNowMs)
{
  json sections = aTable.mSelf.mSections;
  if (aValue.is_null()) {
    sections.erase(aName);
  } else {
    sections[aName] = std::move(aValue);
  }
  if (sections == aTable.mSelf.mSections) {
    return true;
  }
  if (sections.dump().size() > kMaxSectionBytes) {
    return false;
  }
  aTable.mSelf.mSections = std::move(sections);
  aTable.mDirty = true;
  if (aUrgent) {
    aTable.mAnnounceUntilMs = aNowMs + kGossipIntervalMs;
    PublishSelf(aTable);
  }
  return true;
}

void
SetDemand(Membership& aTable, std::map<std::string, double> aDemand)
{
  if (aDemand != aTable.mSelf.mDemand) {
    aTable.mSelf.mDemand = std::move(aDemand);
    aTable.mDirty = true;
  }
}

std::optional<GossipRequest>
TickMembership(Membership& aTable,
               const GossipStatus& aStatus,
               TimeMs aNowMs,
               std::mt19937_64& aRandom)
{
  if (aNowMs < aTable.mNextRequestMs) {
    return std::nullopt;
  }
  aTable.mNextRequestMs = aNowMs + kGossipIntervalMs / kGossipFanOut;
  // 1. Remove members that are gone, but only with a host list. Without one,
  // the hosts on one side of a network partition would remove the others and
  // become a majority of the hosts they know.
  std::erase_if(aTable.mMembers, [&](const auto& aItem) {
    const Member& member = aItem.second;
    return aTable.mListKnown && !member.mListed &&
           aNowMs - member.mLastHeardMs > kMemberRemovalMs &&
           aItem.first != aTable.mSelf.mHost;
  });
  // 2. Publish the local row.
  UpdateSelf(aTable, aStatus, aNowMs);
  std::vector<const Member*> peers;
  std::size_t rows = 0;
  for (const auto& [host, member] : aTable.mMembers) {
    rows += HasRow(member, aNowMs) ? 1 : 0;
    bool leaving = member.mRow.mLeaving || member.mListLeaving;
    bool present = HasRow(member, aNowMs) || member.mListed;
    if (member.mRole == Role::Entry && host != aTable.mSelf.mHost && present &&
        !leaving && !member.mRow.mAddress.empty()) {
      peers.push_back(&member);
    }
  }
  // The interval varies randomly by up to one half, so that entries that
  // started at the same time do not publish at the same time.
  if (aTable.mDirty && aNowMs >= aTable.mNextPublishMs) {
    PublishSelf(aTable);
    TimeMs interval = kPublishIntervalPerEntryMs * static_cast<TimeMs>(rows);
    std::uniform_int_distribution<TimeMs> intervals(interval / 2,
                                                    interval * 3 / 2);
    aTable.mNextPublishMs = aNowMs + intervals(aRandom);
  }
  if (peers.empty()) {
    return std::nullopt;
  }
  // 3. Ask a random peer.
  std::uniform_int_distribution<std::size_t> peerIndex(0, peers.size() - 1);
  const Member& peer = *peers[peerIndex(aRandom)];
  std::uint64_t nonce = aRandom() >> 16;
  std::size_t count = std::clamp(rows, kMinBuckets, kMaxBuckets);
  json request = StatusToJson(aTable, aStatus);
  request["nonce"] = nonce;
  request["digests"] = json::binary(
    MakeDigestBuckets(aTable, count, nonce, aNowMs, false).mDigests);
  if (aNowMs <= aTable.mAnnounceUntilMs) {
    request["row"] = EncodeRow(aTable.mMembers[aTable.mSelf.mHost].mRow);
  }
  return GossipRequest{ peer.mRow.mHost,
                        peer.mRow.mAddress,
                        std::move(request) };
}

tl::expected<json, WireError>
AnswerGossip(Membership& aTable,
             const json& aRequest,
             const GossipStatus& aStatus,
             TimeMs aNowMs,
             GossipSender& aSender)
{
  try {
    aSender = DecodeStatus(aRequest);
    // 1. Merge the requester's own row. The time of sending is unknown, so the
    // request does not count as a present heartbeat.
    auto row = aRequest.find("row");
    if (row != aRequest.end()) {
      MergeRow(aTable, DecodeRow(*row), aNowMs - kHeartbeatTimeoutMs - 1);
    }
    UpdateSelf(aTable, aStatus, aNowMs);
    json answer = StatusToJson(aTable, aStatus);
    if (!aRequest.contains("digests")) {
      return answer;
    }
    // 2. Send the rows of buckets that differ and the heartbeats of the others.
    auto nonce = aRequest.at("nonce").get<std::uint64_t>();
    const auto& digests = aRequest.at("digests").get_binary();
    if (digests.empty() || digests.size() > kMaxBuckets) {
      return tl::unexpected(WireError{ WireErrorCode::BadEncoding,
                                       "field digests is empty or too long" });
    }
    DigestBuckets buckets =
      MakeDigestBuckets(aTable, digests.size(), nonce, aNowMs, true);
    std::vector<std::uint8_t> heartbeats(digests.size(), kAgeCodeOlder << 4);
    json rows = json::array();
    for (std::size_t i = 0; i < digests.size(); ++i) {
      std::size_t bucket = (i + nonce) % digests.size();
      const auto& members = buckets.mMembers[bucket];
      if (members.empty()) {
        continue;
      }
      if (digests[bucket] == buckets.mDigests[bucket]) {
        heartbeats[bucket] =
          EncodeHeartbeat(members, aStatus.mRevision, aNowMs);
        continue;
      }
      for (const Member* member : members) {
        if (rows.size() < kMaxAnswerRows &&
            member->mRow.mHost != aSender.mHost) {
          json item = EncodeRow(member->mRow);
          item.push_back(aNowMs - member->mLastHeardMs);
          rows.push_back(std::move(item));
        }
      }
    }
    answer["beats"] = json::binary(std::move(heartbeats));
    if (!rows.empty()) {
      answer["rows"] = std::move(rows);
    }
    return answer;
  } catch (const json::exception& error) {
    return MakeDecodeError(error);
  }
}

tl::expected<GossipSender, WireError>
MergeGossipAnswer(Membership& aTable,
                  const json& aAnswer,
                  TimeMs aSentMs,
                  TimeMs aNowMs)
{
  try {
    GossipSender sender = DecodeStatus(aAnswer);
    json::binary_t heartbeats;
    if (aAnswer.contains("beats")) {
      heartbeats = aAnswer.at("beats").get_binary();
    }
    if (heartbeats.size() > kMaxBuckets) {
      return tl::unexpected(
        WireError{ WireErrorCode::BadEncoding, "field beats is too long" });
    }
    // 1. Merge the heartbeats before the rows change the buckets. A row that
    // changed since the request moves no member to another bucket, and its
    // heartbeat remains valid.
    for (auto& [host, member] : aTable.mMembers) {
      if (heartbeats.empty() || !HasRow(member, aNowMs) ||
          host == aTable.mSelf.mHost) {
        continue;
      }
      std::uint8_t heartbeat = heartbeats[member.mHostHash % heartbeats.size()];
      std::size_t code = heartbeat >> 4;
      if (code == kAgeCodeOlder ||
          aSentMs - kAgeStepsMs[code] <= member.mLastHeardMs) {
        continue;
      }
      std::int64_t lag = heartbeat & 7;
      member.mLastHeardMs = aSentMs - kAgeStepsMs[code];
      member.mReachesStore = (heartbeat & 8) != 0;
      member.mRevision =
        lag < kMaxRevisionLag
          ? std::max<std::int64_t>(0, sender.mStatus.mRevision - lag)
          : 0;
    }
    // 2. Merge the rows.
    auto rows = aAnswer.find("rows");
    if (rows != aAnswer.end()) {
      for (const auto& item : *rows) {
        TimeMs age = std::max<TimeMs>(0, item.at(9).get<TimeMs>());
        if (age <= kMemberTimeoutMs) {
          MergeRow(aTable, DecodeRow(item), aSentMs - age);
        }
      }
    }
    // 3. Update the sender itself.
    auto found = aTable.mMembers.find(sender.mHost);
    if (found != aTable.mMembers.end() &&
        found->second.mRow.mIncarnation == sender.mIncarnation) {
      Member& member = found->second;
      member.mLastHeardMs = std::max(member.mLastHeardMs, aSentMs);
      member.mReachesStore = sender.mStatus.mReachesStore;
      member.mRevision = sender.mStatus.mConfirmed;
    }
    return sender;
  } catch (const json::exception& error) {
    return MakeDecodeError(error);
  }
}

bool
IsLive(const Membership& aTable, const Member& aMember, TimeMs aNowMs)
{
  bool leaving = aMember.mRow.mLeaving || aMember.mListLeaving;
  if (aMember.mRow.mHost == aTable.mSelf.mHost) {
    return !leaving;
  }
  bool known = aMember.mRole == Role::Agent || aMember.mRowHash != 0;
  return known && !leaving && aNowMs - aMember.mLastHeardMs <= kMemberTimeoutMs;
}

std::vector<std::string>
ListedEntries(const Membership& aTable)
{
  std::vector<std::string> hosts;
  for (const auto& [host, member] : aTable.mMembers) {
    if (member.mListed && member.mRole == Role::Entry &&
        host != aTable.mSelf.mHost) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<std::string>
LiveEntries(const Membership& aTable, std::string_view aRegion, TimeMs aNowMs)
{
  std::vector<std::string> hosts;
  for (const auto& [host, member] : aTable.mMembers) {
    if (member.mRole == Role::Entry && IsLive(aTable, member, aNowMs) &&
        (aRegion.empty() || member.mRow.mRegion == aRegion)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

FleetView
ViewFleet(const Membership& aTable, TimeMs aNowMs)
{
  FleetView view;
  std::uint64_t selfRank = MixBits(Hash64(aTable.mSelf.mHost));
  std::size_t higherRanked = 0;
  for (const auto& [host, member] : aTable.mMembers) {
    if (member.mRole != Role::Entry) {
      continue;
    }
    bool self = host == aTable.mSelf.mHost;
    bool hasHeartbeat =
      self || (member.mRowHash != 0 &&
               aNowMs - member.mLastHeardMs <= kHeartbeatTimeoutMs);
    view.mEntries += 1;
    view.mEntriesWithHeartbeat += hasHeartbeat ? 1 : 0;
    view.mPeerReachesStore =
      view.mPeerReachesStore || (hasHeartbeat && !self && member.mReachesStore);
    if (!self && member.mRow.mRegion == aTable.mSelf.mRegion &&
        IsLive(aTable, member, aNowMs) &&
        MixBits(member.mHostHash) > selfRank) {
      higherRanked += 1;
    }
  }
  view.mIsWatcher = higherRanked < kWatchersPerRegion;
  return view;
}

std::string
RendezvousOwner(const std::vector<std::string>& aHosts, std::string_view aKey)
{
  std::string best;
  std::uint64_t bestRank = 0;
  std::uint64_t key = Hash64(aKey);
  for (const auto& host : aHosts) {
    std::uint64_t rank = Hash64(host, key);
    if (best.empty() || rank > bestRank) {
      best = host;
      bestRank = rank;
    }
  }
  return best;
}

double
LocalDemandShare(const Membership& aTable,
                 const std::string& aCustomer,
                 TimeMs aNowMs)
{
  double peerDemand = 0;
  std::size_t live = 0;
  for (const auto& [host, member] : aTable.mMembers) {
    if (member.mRole != Role::Entry || !IsLive(aTable, member, aNowMs) ||
        host == aTable.mSelf.mHost) {
      continue;
    }
    live += 1;
    auto found = member.mRow.mDemand.find(aCustomer);
    peerDemand +=
      found == member.mRow.mDemand.end() ? 0 : std::max(0., found->second);
  }
  auto local = aTable.mSelf.mDemand.find(aCustomer);
  double localDemand = local == aTable.mSelf.mDemand.end() ? 0 : local->second;
  if (peerDemand + localDemand <= 0) {
    return 1. / static_cast<double>(live + 1);
  }
  return localDemand / (peerDemand + localDemand);
}

json
ToJson(const EntryRow& aRow)
{
  return { { "host", aRow.mHost },         { "incarnation", aRow.mIncarnation },
           { "sequence", aRow.mSequence }, { "address", aRow.mAddress },
           { "zone", aRow.mZone },         { "region", aRow.mRegion },
           { "leaving", aRow.mLeaving },   { "demand", aRow.mDemand },
           { "sections", aRow.mSections } };
}

tl::expected<EntryRow, WireError>
ParseEntryRow(const json& aRow)
{
  try {
    return DecodeRow(json::array({ aRow.at("host"),
                                   aRow.at("incarnation"),
                                   aRow.at("sequence"),
                                   aRow.at("address"),
                                   aRow.at("zone"),
                                   aRow.at("region"),
                                   aRow.at("leaving"),
                                   aRow.at("demand_tenths"),
                                   aRow.at("sections") }));
  } catch (const json::exception& error) {
    return MakeDecodeError(error);
  }
}

json
ToJson(const Membership& aTable, TimeMs aNowMs)
{
  json members = json::array();
  for (const auto& [host, member] : aTable.mMembers) {
    json item = ToJson(member.mRow);
    item["role"] = ToName(kRoleNames, member.mRole);
    item["age_ms"] = aNowMs - member.mLastHeardMs;
    item["revision"] = member.mRevision;
    item["reaches_store"] = member.mReachesStore;
    item["listed"] = member.mListed;
    item["live"] = IsLive(aTable, member, aNowMs);
    members.push_back(std::move(item));
  }
  return { { "self", aTable.mSelf.mHost }, { "members", members } };
}

} // namespace savory
