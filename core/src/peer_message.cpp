#include "savory/core/peer_message.h"

#include "cbor.h"

#include <nlohmann/json.hpp>

namespace savory {

namespace {

using Json = nlohmann::json;

constexpr std::uint8_t kFormatVersion = 2;
// The version of changes that state an epoch. Releases that know no epochs drop
// them; they would apply them to a copy of another epoch.
constexpr std::uint8_t kEpochFormatVersion = 3;
// The version of changes with deltas, which earlier releases would take for
// values.
constexpr std::uint8_t kDeltaFormatVersion = 4;
constexpr std::size_t kHeaderBytes = 2;

// Largest size in CBOR of an unsigned 64-bit integer or a double, and of the
// head of a text or an array.
constexpr std::size_t kNumberBytes = 9;
constexpr std::size_t kLengthBytes = 5;

Json
ToJson(const CrashSuspectRow& aRow)
{
  Json evidence = Json::array();
  for (const CrashEvidenceRow& row : aRow.mEvidence) {
    evidence.push_back({ row.mCrash,
                         row.mFingerprint,
                         row.mSentAgeMs,
                         row.mCrashedAgeMs,
                         row.mStarted });
  }
  return { aRow.mKey.mService,  static_cast<int>(aRow.mKey.mKind),
           aRow.mKey.mId,       aRow.mDepth,
           aRow.mAnsweredAgeMs, aRow.mTrialAgeMs,
           aRow.mTrials,        evidence };
}

CrashSuspectRow
ToCrashSuspectRow(const Json& aJson)
{
  CrashSuspectRow row;
  row.mKey = { aJson.at(0).get<std::string>(),
               aJson.at(1).get<int>() == 0 ? SuspectKind::Request
                                           : SuspectKind::PromptPart,
               aJson.at(2).get<std::uint64_t>() };
  row.mDepth = aJson.at(3).get<int>();
  row.mAnsweredAgeMs = aJson.at(4).get<TimeMs>();
  row.mTrialAgeMs = aJson.at(5).get<TimeMs>();
  row.mTrials = aJson.at(6).get<int>();
  for (const Json& evidence : aJson.at(7)) {
    row.mEvidence.push_back({ evidence.at(0).get<std::uint64_t>(),
                              evidence.at(1).get<std::uint64_t>(),
                              evidence.at(2).get<TimeMs>(),
                              evidence.at(3).get<TimeMs>(),
                              evidence.at(4).get<bool>() });
  }
  return row;
}

std::string
EncodeDatagram(PeerDatagramKind aKind,
               const Json& aDocument,
               std::uint8_t aVersion = kFormatVersion)
{
  std::vector<std::uint8_t> bytes{ aVersion, static_cast<std::uint8_t>(aKind) };
  Json::to_cbor(aDocument, bytes);
  return { bytes.begin(), bytes.end() };
}

// Decodes a datagram with aConvert. The library reports missing fields and
// wrong types by exceptions.
template<class Message>
std::optional<Message>
DecodeDatagram(std::string_view aBytes, Message (*aConvert)(const Json&))
{
  if (aBytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  auto document = DecodeCbor(aBytes.substr(kHeaderBytes));
  if (!document) {
    return std::nullopt;
  }
  try {
    return aConvert(*document);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

// Reads an epoch, which is left out where it is 0. An epoch out of range makes
// the datagram malformed.
std::int64_t
ToEpoch(const Json& aEpoch)
{
  auto epoch = aEpoch.get<std::int64_t>();
  if (epoch < 0 || epoch > kMaxStoreEpoch) {
    throw Json::out_of_range::create(401, "epoch out of range", &aEpoch);
  }
  return epoch;
}

std::int64_t
EpochField(const Json& aDocument)
{
  return aDocument.contains("e") ? ToEpoch(aDocument.at("e")) : 0;
}

Json
ToJson(const PeerMessage::UsageReport& aReport)
{
  Json windows = Json::array();
  for (const UsageTotals& row : aReport.mTotals) {
    windows.push_back({ row.mWindow, row.mTotals });
  }
  return { aReport.mWallMs, aReport.mIncarnation, windows };
}

PeerMessage::UsageReport
ToUsageReport(const Json& aJson)
{
  PeerMessage::UsageReport report;
  report.mWallMs = aJson.at(0).get<TimeMs>();
  report.mIncarnation = aJson.at(1).get<std::uint64_t>();
  // The library throws here for names that are not UTF-8, which would have no
  // place in a JSON document later.
  (void)aJson.dump();
  for (const Json& row : aJson.at(2)) {
    report.mTotals.push_back(
      { row.at(0).get<std::int64_t>(), row.at(1).get<UsageCounts>() });
  }
  return report;
}

PeerMessage
ToPeerMessage(const Json& aDocument)
{
  PeerMessage message;
  message.mHost = aDocument.at("h").get<std::string>();
  message.mAddress = aDocument.at("a").get<std::string>();
  message.mZone = aDocument.at("z").get<std::string>();
  message.mStoreRevision = { EpochField(aDocument),
                             aDocument.at("r").get<std::int64_t>() };
  message.mLeaving = aDocument.at("l").get<bool>();
  message.mMayWatch = aDocument.at("u").get<bool>();
  if (aDocument.contains("g")) {
    message.mContactAgeMs = aDocument.at("g").get<TimeMs>();
  }
  message.mReachableForMs = aDocument.at("o").get<TimeMs>();
  // Releases that do not rank hosts by it do not send it.
  if (aDocument.contains("p")) {
    message.mCapacity = aDocument.at("p").get<double>();
  }
  message.mLiveHosts = aDocument.at("n").get<int>();
  for (const Json& row : aDocument.at("s")) {
    message.mShifts[row.at(0).get<std::string>()] = {
      { row.size() > 9 ? ToEpoch(row.at(9)) : 0,
        row.at(1).get<std::int64_t>() },
      row.at(2).get<TimeMs>(),
      { row.at(3).get<std::int64_t>(),
        row.at(4).get<std::int64_t>(),
        row.at(5).get<std::int64_t>(),
        row.at(6).get<int>(),
        // Releases before the comparison of delays send none.
        row.size() > 7 ? row.at(7).get<std::int64_t>() : 0,
        row.size() > 8 ? row.at(8).get<std::int64_t>() : 0 }
    };
  }
  // Releases before the crash report do not send it.
  if (aDocument.contains("b")) {
    for (const Json& row : aDocument.at("b")) {
      message.mCrashes.mSuspects.push_back(ToCrashSuspectRow(row));
    }
    for (const Json& row : aDocument.at("c")) {
      message.mCrashes.mCrashes.push_back(
        { row.at(0).get<std::uint64_t>(), row.at(1).get<TimeMs>() });
    }
  }
  for (const auto& [runner, row] : aDocument.at("w").items()) {
    message.mPrefills[runner] = { row.at(0).get<double>(),
                                  row.at(1).get<std::vector<std::uint64_t>>() };
  }
  if (aDocument.contains("t")) {
    message.mUsage = ToUsageReport(aDocument.at("t"));
  }
  message.mLiveAddresses = aDocument.at("k").get<std::vector<std::string>>();
  return message;
}

ChangeMessage
ToChangeMessage(const Json& aDocument)
{
  ChangeMessage message;
  message.mAddress = aDocument.at("a").get<std::string>();
  message.mEpoch = EpochField(aDocument);
  message.mFromRevision = aDocument.at("f").get<std::int64_t>();
  message.mToRevision = aDocument.at("r").get<std::int64_t>();
  // Earlier releases do not send it.
  message.mIsFromList =
    aDocument.contains("s") && aDocument.at("s").get<bool>();
  for (const Json& row : aDocument.at("c")) {
    ChangeRow change;
    change.mKey = row.at(0).get<std::string>();
    change.mRevision = row.at(1).get<std::int64_t>();
    if (row.size() > 2) {
      const auto& value = row.at(2).get_binary();
      change.mValue = std::string(value.begin(), value.end());
    }
    if (row.size() > 3) {
      change.mBaseRevision = row.at(3).get<std::int64_t>();
    }
    message.mRows.push_back(std::move(change));
  }
  return message;
}

} // namespace

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  Json shifts = Json::array();
  for (const auto& [service, row] : aMessage.mShifts) {
    shifts.push_back({ service,
                       row.mOrderRevision.mRevision,
                       row.mOrderAgeMs,
                       row.mCounts.mGood,
                       row.mCounts.mFailed,
                       row.mCounts.mSlow,
                       row.mCounts.mBaselineInFlight,
                       row.mCounts.mPrompt,
                       row.mCounts.mDelayed });
    if (row.mOrderRevision.mEpoch > 0) {
      shifts.back().push_back(row.mOrderRevision.mEpoch);
    }
  }
  Json suspects = Json::array();
  for (const CrashSuspectRow& row : aMessage.mCrashes.mSuspects) {
    suspects.push_back(ToJson(row));
  }
  Json crashes = Json::array();
  for (const CrashRow& row : aMessage.mCrashes.mCrashes) {
    crashes.push_back({ row.mCrash, row.mAgeMs });
  }
  Json prefills = Json::object();
  for (const auto& [runner, row] : aMessage.mPrefills) {
    prefills[runner] = { row.mPrefillMs, row.mPartKeys };
  }
  Json document{ { "h", aMessage.mHost },
                 { "a", aMessage.mAddress },
                 { "z", aMessage.mZone },
                 { "r", aMessage.mStoreRevision.mRevision },
                 { "l", aMessage.mLeaving },
                 { "u", aMessage.mMayWatch },
                 { "o", aMessage.mReachableForMs },
                 { "n", aMessage.mLiveHosts },
                 { "s", shifts },
                 // Read by earlier releases only.
                 { "q", Json::array() },
                 { "w", prefills },
                 { "k", aMessage.mLiveAddresses } };
  if (!suspects.empty() || !crashes.empty()) {
    document["b"] = suspects;
    document["c"] = crashes;
  }
  if (aMessage.mUsage) {
    document["t"] = ToJson(*aMessage.mUsage);
  }
  if (aMessage.mCapacity > 0) {
    document["p"] = aMessage.mCapacity;
  }
  if (aMessage.mContactAgeMs) {
    document["g"] = *aMessage.mContactAgeMs;
  }
  if (aMessage.mStoreRevision.mEpoch > 0) {
    document["e"] = aMessage.mStoreRevision.mEpoch;
  }
  return EncodeDatagram(PeerDatagramKind::Beacon, document);
}

std::string
EncodeChangeMessage(const ChangeMessage& aMessage)
{
  Json rows = Json::array();
  std::size_t valueBytes = 0;
  bool hasDelta = false;
  for (const ChangeRow& row : aMessage.mRows) {
    Json fields{ row.mKey, row.mRevision };
    if (row.mValue) {
      valueBytes += row.mValue->size();
      if (valueBytes > kMaxPeerDatagramBytes) {
        return {};
      }
      fields.push_back(
        Json::binary({ row.mValue->begin(), row.mValue->end() }));
      if (row.mBaseRevision > 0) {
        fields.push_back(row.mBaseRevision);
        hasDelta = true;
      }
    }
    rows.push_back(std::move(fields));
  }
  Json document{ { "a", aMessage.mAddress },
                 { "f", aMessage.mFromRevision },
                 { "r", aMessage.mToRevision },
                 { "s", aMessage.mIsFromList },
                 { "c", rows } };
  bool hasEpoch = aMessage.mEpoch > 0;
  if (hasEpoch) {
    document["e"] = aMessage.mEpoch;
  }
  std::string bytes = EncodeDatagram(PeerDatagramKind::Changes,
                                     document,
                                     hasDelta   ? kDeltaFormatVersion
                                     : hasEpoch ? kEpochFormatVersion
                                                : kFormatVersion);
  return bytes.size() <= kMaxPeerDatagramBytes ? bytes : std::string();
}

tl::expected<PeerDatagramKind, std::string>
ParseDatagramKind(std::string_view aBytes)
{
  if (aBytes.size() < kHeaderBytes) {
    return tl::unexpected(std::string("shorter than its header"));
  }
  auto version = static_cast<std::uint8_t>(aBytes[0]);
  if (version != kFormatVersion && version != kEpochFormatVersion &&
      version != kDeltaFormatVersion) {
    return tl::unexpected("format version " + std::to_string(version));
  }
  auto kind = static_cast<std::uint8_t>(aBytes[1]);
  if (kind < static_cast<std::uint8_t>(PeerDatagramKind::Beacon) ||
      kind > static_cast<std::uint8_t>(PeerDatagramKind::Changes)) {
    return tl::unexpected("kind " + std::to_string(kind));
  }
  return static_cast<PeerDatagramKind>(kind);
}

void
SetDatagramKind(std::string& aBytes, PeerDatagramKind aKind)
{
  aBytes[1] = static_cast<char>(aKind);
}

std::optional<PeerMessage>
DecodePeerMessage(std::string_view aBytes)
{
  return DecodeDatagram(aBytes, ToPeerMessage);
}

std::optional<ChangeMessage>
DecodeChangeMessage(std::string_view aBytes)
{
  return DecodeDatagram(aBytes, ToChangeMessage);
}

std::size_t
EncodedPrefillBytes(std::string_view aRunner,
                    const PeerMessage::PrefillReport& aReport)
{
  return aRunner.size() + 3 * kLengthBytes + kNumberBytes +
         kNumberBytes * aReport.mPartKeys.size();
}

} // namespace savory
