#include "savory/core/membership.h"

#include "savory/core/identity.h"

#include <algorithm>
#include <cmath>

namespace savory {

using nlohmann::json;

namespace {

// A beat is one byte: 4 bits of age, 1 bit "reaches the store", 3 bits of the
// revisions by which the member is behind the answer's. The highest value of
// age and lag stands for "more than that". Ages are fine below 3 s, which the
// staleness rule looks at, and reach to kGoneMs.
constexpr std::array<TimeMs, 15> kAgeCodes{ 0,    250,  500,  750,   1000,
                                            1250, 1500, 2000, 2500,  3000,
                                            4500, 6000, 8000, 10500, 13500 };
constexpr std::size_t kOlder = kAgeCodes.size();
constexpr std::int64_t kMaxLag = 7;

// The most customers of a row, and requests per second of one of them.
constexpr std::size_t kMaxDemandRows = 256;
constexpr double kMaxDemand = 1e9;

constexpr std::size_t kMinSlots = 16;
constexpr std::size_t kMaxSlots = 4096;

std::uint64_t
HashRow(const EntryRow& aRow)
{
  std::string text = aRow.mHost + '\n' + std::to_string(aRow.mIncarnation) +
                     '\n' + std::to_string(aRow.mSequence);
  return Hash64(text) | 1;
}

// Spreads a hash over all bits (the finalizer of SplitMix64).
std::uint64_t
Spread(std::uint64_t aValue)
{
  aValue = (aValue ^ aValue >> 30) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ aValue >> 27) * 0x94d049bb133111ebULL;
  return aValue ^ aValue >> 31;
}

// A row as it travels. Demand is in tenths of a request, which takes 1 to 3
// bytes where a number with a fraction takes 9.
json
RowArray(const EntryRow& aRow)
{
  json demand = json::object();
  for (const auto& [customer, rate] : aRow.mDemand) {
    demand[customer] = std::llround(std::clamp(rate, 0., kMaxDemand) * 10);
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

// Reads a row; throws json::exception on another shape.
EntryRow
ReadRow(const json& aRow)
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
      std::clamp(tenths.get<double>() / 10, 0., kMaxDemand);
  }
  if (!row.mSections.is_object() || row.mHost.empty() ||
      row.mDemand.size() > kMaxDemandRows ||
      row.mSections.dump().size() > kMaxSectionBytes) {
    throw json::other_error::create(501, "bad row", &aRow);
  }
  return row;
}

// The member of a name, added when the table has room; null when it has not.
Member*
MemberOf(Membership& aTable, const std::string& aHost)
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

// Whether a member's row takes part in gossip.
bool
HasRow(const Member& aMember, TimeMs aNowMs)
{
  return aMember.mRole == Role::Entry && aMember.mRowHash != 0 &&
         aNowMs - aMember.mBeatMs <= kGoneMs;
}

// The rows of a table by slot. Two tables whose digests of a slot are equal
// hold the same rows in it, but for one case in 256; the nonce makes that a
// different case in each exchange.
struct Slots
{
  std::vector<std::uint8_t> mDigests;
  std::vector<std::vector<const Member*>> mMembers;
};

Slots
SlotsOf(const Membership& aTable,
        std::size_t aCount,
        std::uint64_t aNonce,
        TimeMs aNowMs,
        bool aWithMembers)
{
  Slots slots;
  slots.mDigests.resize(aCount);
  slots.mMembers.resize(aWithMembers ? aCount : 0);
  for (const auto& [host, member] : aTable.mMembers) {
    if (!HasRow(member, aNowMs)) {
      continue;
    }
    std::size_t slot = member.mHostHash % aCount;
    slots.mDigests[slot] ^=
      static_cast<std::uint8_t>(Spread(member.mRowHash ^ aNonce));
    if (aWithMembers) {
      slots.mMembers[slot].push_back(&member);
    }
  }
  return slots;
}

// The beat of a slot: the oldest age, the lowest revision and whether any
// member reaches the store, so that no member looks better than it is.
std::uint8_t
BeatOf(const std::vector<const Member*>& aMembers,
       std::int64_t aRevision,
       TimeMs aNowMs)
{
  TimeMs age = 0;
  std::int64_t lag = 0;
  bool reaches = false;
  for (const Member* member : aMembers) {
    age = std::max(age, aNowMs - member->mBeatMs);
    lag = std::max(lag, aRevision - member->mRevision);
    reaches = reaches || member->mReachesStore;
  }
  auto code = std::lower_bound(kAgeCodes.begin(), kAgeCodes.end(), age) -
              kAgeCodes.begin();
  return static_cast<std::uint8_t>(code << 4 | (reaches ? 8 : 0) |
                                   std::min(lag, kMaxLag));
}

// Brings the own member up to date with the status.
void
RefreshSelf(Membership& aTable, const GossipStatus& aStatus, TimeMs aNowMs)
{
  Member& self = aTable.mMembers[aTable.mSelf.mHost];
  self.mBeatMs = aNowMs;
  self.mRevision = aStatus.mConfirmed;
  self.mReachesStore = aStatus.mReachesStore;
}

void
Publish(Membership& aTable)
{
  aTable.mDirty = false;
  aTable.mSelf.mSequence += 1;
  Member& self = aTable.mMembers[aTable.mSelf.mHost];
  self.mRow = aTable.mSelf;
  self.mRowHash = HashRow(self.mRow);
}

json
StatusJson(const Membership& aTable, const GossipStatus& aStatus)
{
  json message = { { "from", aTable.mSelf.mHost },
                   { "incarnation", aTable.mSelf.mIncarnation },
                   { "revision", aStatus.mRevision },
                   { "confirmed", aStatus.mConfirmed },
                   { "store", aStatus.mReachesStore } };
  if (aStatus.mVerifiedAge) {
    message["verified"] = *aStatus.mVerifiedAge;
  }
  return message;
}

// Reads the status of a message; throws json::exception on another shape.
GossipNews
ReadStatus(const json& aMessage)
{
  GossipNews news{
    .mHost = aMessage.at("from").get<std::string>(),
    .mIncarnation = aMessage.at("incarnation").get<std::int64_t>(),
    .mStatus = { .mRevision = aMessage.at("revision").get<std::int64_t>(),
                 .mConfirmed = aMessage.at("confirmed").get<std::int64_t>(),
                 .mVerifiedAge = {},
                 .mReachesStore = aMessage.at("store").get<bool>() },
  };
  auto verified = aMessage.find("verified");
  if (verified != aMessage.end()) {
    news.mStatus.mVerifiedAge =
      std::max<TimeMs>(0, verified->get<std::int64_t>());
  }
  return news;
}

tl::unexpected<WireError>
BadMessage(const json::exception& aError)
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
  Member* self = MemberOf(table, table.mSelf.mHost);
  self->mBeatMs = aNowMs;
  Publish(table);
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
    Member* member = MemberOf(aTable, host.mHost);
    if (!member) {
      continue;
    }
    if (!known) {
      member->mBeatMs = aNowMs - kGoneMs - 1;
    }
    member->mListed = true;
    member->mListLeaving = host.mLeaving;
    member->mRole = host.mRole;
    // The host itself knows its address and zone better than the list.
    if (member->mRowHash == 0) {
      member->mRow.mAddress = host.mAddress;
      member->mRow.mZone = host.mZone;
      member->mRow.mRegion = host.mRegion;
    }
  }
}

void
MergeReport(Membership& aTable, const Report& aReport, TimeMs aNowMs)
{
  Member* member = MemberOf(aTable, aReport.mFrom.mHost);
  if (!member || aReport.mFrom.mIncarnation < member->mRow.mIncarnation) {
    return;
  }
  bool same = aReport.mFrom.mIncarnation == member->mRow.mIncarnation;
  member->mRole = Role::Agent;
  member->mRow.mLeaving = aReport.mLeaving || (same && member->mRow.mLeaving);
  member->mRow.mIncarnation = aReport.mFrom.mIncarnation;
  member->mRow.mAddress = aReport.mAddress;
  member->mRow.mZone = aReport.mZone;
  member->mBeatMs = aNowMs;
  member->mRevision = aReport.mFrom.mRevision;
}

bool
MergeRow(Membership& aTable, EntryRow aRow, TimeMs aBeatMs)
{
  if (aRow.mHost == aTable.mSelf.mHost) {
    return false;
  }
  bool known = aTable.mMembers.contains(aRow.mHost);
  Member* member = MemberOf(aTable, aRow.mHost);
  if (!member) {
    return false;
  }
  const EntryRow& old = member->mRow;
  bool sameLife = aRow.mIncarnation == old.mIncarnation;
  bool newer = member->mRowHash == 0 || aRow.mIncarnation > old.mIncarnation ||
               (sameLife && aRow.mSequence > old.mSequence);
  bool beats = sameLife || newer;
  if (beats) {
    member->mBeatMs = known ? std::max(member->mBeatMs, aBeatMs) : aBeatMs;
  }
  if (newer) {
    if (!sameLife) {
      member->mRevision = 0;
      member->mReachesStore = false;
    }
    aRow.mLeaving = aRow.mLeaving || (sameLife && old.mLeaving);
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
  Publish(aTable);
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
    aTable.mAnnounceUntilMs = aNowMs + kRoundMs;
    Publish(aTable);
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
  aTable.mNextRequestMs = aNowMs + kRoundMs / kFanOut;
  // 1. Drop who is gone. Without a host list nobody is dropped: a partition
  // would become a majority of what it knows.
  std::erase_if(aTable.mMembers, [&](const auto& aItem) {
    const Member& member = aItem.second;
    return aTable.mListKnown && !member.mListed &&
           aNowMs - member.mBeatMs > kDropMs &&
           aItem.first != aTable.mSelf.mHost;
  });
  // 2. Publish the own row.
  RefreshSelf(aTable, aStatus, aNowMs);
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
  // The times differ by up to a half, so that a fleet that started at once
  // does not publish at once.
  if (aTable.mDirty && aNowMs >= aTable.mNextPublishMs) {
    Publish(aTable);
    TimeMs spacing = kRowSpacingMs * static_cast<TimeMs>(rows);
    std::uniform_int_distribution<TimeMs> times(spacing / 2, spacing * 3 / 2);
    aTable.mNextPublishMs = aNowMs + times(aRandom);
  }
  if (peers.empty()) {
    return std::nullopt;
  }
  // 3. Ask a random peer.
  std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
  const Member& peer = *peers[pick(aRandom)];
  std::uint64_t nonce = aRandom() >> 16;
  std::size_t count = std::clamp(rows, kMinSlots, kMaxSlots);
  json request = StatusJson(aTable, aStatus);
  request["nonce"] = nonce;
  request["digests"] =
    json::binary(SlotsOf(aTable, count, nonce, aNowMs, false).mDigests);
  if (aNowMs <= aTable.mAnnounceUntilMs) {
    request["row"] = RowArray(aTable.mMembers[aTable.mSelf.mHost].mRow);
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
             GossipNews& aNews)
{
  try {
    aNews = ReadStatus(aRequest);
    // 1. The requester's own row. When it was sent is not known, so that it
    // does not count as heard from at this moment.
    auto row = aRequest.find("row");
    if (row != aRequest.end()) {
      MergeRow(aTable, ReadRow(*row), aNowMs - kHeardMs - 1);
    }
    RefreshSelf(aTable, aStatus, aNowMs);
    json answer = StatusJson(aTable, aStatus);
    if (!aRequest.contains("digests")) {
      return answer;
    }
    // 2. Rows of the slots that differ, beats of those that do not.
    auto nonce = aRequest.at("nonce").get<std::uint64_t>();
    const auto& digests = aRequest.at("digests").get_binary();
    if (digests.empty() || digests.size() > kMaxSlots) {
      return tl::unexpected(
        WireError{ WireErrorCode::BadEncoding, "bad number of slots" });
    }
    Slots slots = SlotsOf(aTable, digests.size(), nonce, aNowMs, true);
    std::vector<std::uint8_t> beats(digests.size(), kOlder << 4);
    json rows = json::array();
    for (std::size_t i = 0; i < digests.size(); ++i) {
      std::size_t slot = (i + nonce) % digests.size();
      const auto& members = slots.mMembers[slot];
      if (members.empty()) {
        continue;
      }
      if (digests[slot] == slots.mDigests[slot]) {
        beats[slot] = BeatOf(members, aStatus.mRevision, aNowMs);
        continue;
      }
      for (const Member* member : members) {
        if (rows.size() < kMaxAnswerRows && member->mRow.mHost != aNews.mHost) {
          json item = RowArray(member->mRow);
          item.push_back(aNowMs - member->mBeatMs);
          rows.push_back(std::move(item));
        }
      }
    }
    answer["beats"] = json::binary(std::move(beats));
    if (!rows.empty()) {
      answer["rows"] = std::move(rows);
    }
    return answer;
  } catch (const json::exception& error) {
    return BadMessage(error);
  }
}

tl::expected<GossipNews, WireError>
MergeGossipAnswer(Membership& aTable,
                  const json& aAnswer,
                  TimeMs aSentMs,
                  TimeMs aNowMs)
{
  try {
    GossipNews news = ReadStatus(aAnswer);
    json::binary_t beats;
    if (aAnswer.contains("beats")) {
      beats = aAnswer.at("beats").get_binary();
    }
    if (beats.size() > kMaxSlots) {
      return tl::unexpected(
        WireError{ WireErrorCode::BadEncoding, "bad number of slots" });
    }
    // 1. Beats, before the rows change the slots. A row that changed since the
    // request moves no member to another slot, and its beat remains true.
    for (auto& [host, member] : aTable.mMembers) {
      if (beats.empty() || !HasRow(member, aNowMs) ||
          host == aTable.mSelf.mHost) {
        continue;
      }
      std::uint8_t beat = beats[member.mHostHash % beats.size()];
      std::size_t code = beat >> 4;
      if (code == kOlder || aSentMs - kAgeCodes[code] <= member.mBeatMs) {
        continue;
      }
      std::int64_t lag = beat & 7;
      member.mBeatMs = aSentMs - kAgeCodes[code];
      member.mReachesStore = (beat & 8) != 0;
      member.mRevision =
        lag < kMaxLag ? std::max<std::int64_t>(0, news.mStatus.mRevision - lag)
                      : 0;
    }
    // 2. Rows.
    auto rows = aAnswer.find("rows");
    if (rows != aAnswer.end()) {
      for (const auto& item : *rows) {
        TimeMs age = std::max<TimeMs>(0, item.at(9).get<TimeMs>());
        if (age <= kGoneMs) {
          MergeRow(aTable, ReadRow(item), aSentMs - age);
        }
      }
    }
    // 3. The sender itself.
    auto sender = aTable.mMembers.find(news.mHost);
    if (sender != aTable.mMembers.end() &&
        sender->second.mRow.mIncarnation == news.mIncarnation) {
      Member& member = sender->second;
      member.mBeatMs = std::max(member.mBeatMs, aSentMs);
      member.mReachesStore = news.mStatus.mReachesStore;
      member.mRevision = news.mStatus.mConfirmed;
    }
    return news;
  } catch (const json::exception& error) {
    return BadMessage(error);
  }
}

bool
IsLive(const Membership& aTable, const Member& aMember, TimeMs aNowMs)
{
  bool leaving = aMember.mRow.mLeaving || aMember.mListLeaving;
  if (aMember.mRow.mHost == aTable.mSelf.mHost) {
    return !leaving;
  }
  bool seen = aMember.mRole == Role::Agent || aMember.mRowHash != 0;
  return seen && !leaving && aNowMs - aMember.mBeatMs <= kGoneMs;
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
  std::uint64_t selfRank = Spread(Hash64(aTable.mSelf.mHost));
  std::size_t ahead = 0;
  for (const auto& [host, member] : aTable.mMembers) {
    if (member.mRole != Role::Entry) {
      continue;
    }
    bool self = host == aTable.mSelf.mHost;
    bool heard =
      self || (member.mRowHash != 0 && aNowMs - member.mBeatMs <= kHeardMs);
    view.mEntries += 1;
    view.mHeard += heard ? 1 : 0;
    view.mOtherReachesStore =
      view.mOtherReachesStore || (heard && !self && member.mReachesStore);
    if (!self && member.mRow.mRegion == aTable.mSelf.mRegion &&
        IsLive(aTable, member, aNowMs) && Spread(member.mHostHash) > selfRank) {
      ahead += 1;
    }
  }
  view.mIsWatcher = ahead < kWatchersPerRegion;
  return view;
}

std::string
RendezvousFirst(const std::vector<std::string>& aHosts, std::string_view aKey)
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
DemandShare(const Membership& aTable,
            const std::string& aCustomer,
            TimeMs aNowMs)
{
  double all = 0;
  std::size_t live = 0;
  for (const auto& [host, member] : aTable.mMembers) {
    if (member.mRole != Role::Entry || !IsLive(aTable, member, aNowMs) ||
        host == aTable.mSelf.mHost) {
      continue;
    }
    live += 1;
    auto found = member.mRow.mDemand.find(aCustomer);
    all += found == member.mRow.mDemand.end() ? 0 : std::max(0., found->second);
  }
  auto own = aTable.mSelf.mDemand.find(aCustomer);
  double mine = own == aTable.mSelf.mDemand.end() ? 0 : own->second;
  if (all + mine <= 0) {
    return 1. / static_cast<double>(live + 1);
  }
  return mine / (all + mine);
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
    return ReadRow(json::array({ aRow.at("host"),
                                 aRow.at("incarnation"),
                                 aRow.at("sequence"),
                                 aRow.at("address"),
                                 aRow.at("zone"),
                                 aRow.at("region"),
                                 aRow.at("leaving"),
                                 aRow.at("demand_tenths"),
                                 aRow.at("sections") }));
  } catch (const json::exception& error) {
    return BadMessage(error);
  }
}

json
ToJson(const Membership& aTable, TimeMs aNowMs)
{
  json members = json::array();
  for (const auto& [host, member] : aTable.mMembers) {
    json item = ToJson(member.mRow);
    item["role"] = NameOf(kRoleNames, member.mRole);
    item["age_ms"] = aNowMs - member.mBeatMs;
    item["revision"] = member.mRevision;
    item["reaches_store"] = member.mReachesStore;
    item["listed"] = member.mListed;
    item["live"] = IsLive(aTable, member, aNowMs);
    members.push_back(std::move(item));
  }
  return { { "self", aTable.mSelf.mHost }, { "members", members } };
}

} // namespace savory
