#include "savory/core/record.h"

#include "json_fields.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace savory {

using nlohmann::json;

namespace {

// Upper bound of the field names, quotes and numbers of an item.
constexpr std::size_t kItemOverheadBytes = 240;
constexpr std::size_t kHeaderOverheadBytes = 10;

std::size_t
Base64Bytes(std::size_t aBytes)
{
  return (aBytes + 2) / 3 * 4;
}

// Bodies and headers may contain any bytes, which JSON strings cannot.
std::string
ToBase64(const std::string& aBytes)
{
  std::string text(Base64Bytes(aBytes.size()) + 1, '\0');
  int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

// Decodes a base64 text. Sets aFailed when it is malformed.
std::string
FromBase64(const std::string& aText, bool& aFailed)
{
  if (aText.empty()) {
    return {};
  }
  std::string bytes(aText.size(), '\0');
  int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  std::size_t padding = 0;
  while (padding < 2 && aText.size() > padding &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  if (size < 0 || aText.size() % 4 != 0) {
    aFailed = true;
    return {};
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  // The decoder skips white space; accept only the canonical encoding.
  aFailed = aFailed || ToBase64(bytes) != aText;
  return bytes;
}

json
AgentToJson(const AgentName& aAgent)
{
  return { { "host", aAgent.mHost }, { "incarnation", aAgent.mIncarnation } };
}

AgentName
ParseAgent(const json& aDocument, std::string& aError)
{
  JsonFields fields{ aDocument, aError };
  return { .mHost = fields.ReadString("host"),
           .mIncarnation = fields.ReadCount("incarnation") };
}

Claim
ParseClaimFields(const json& aDocument, std::string& aError)
{
  JsonFields fields{ aDocument, aError };
  Claim claim{ .mCustomer = fields.ReadString("customer"),
               .mKey = fields.ReadString("key"),
               .mFingerprint = fields.ReadUnsigned("fingerprint"),
               .mRequestId = fields.ReadString("request"),
               .mEpoch = fields.ReadCount("epoch"),
               .mAttempt = fields.ReadCount("attempt"),
               .mClaimedMs = fields.ReadCount("claimed_ms") };
  if (claim.mKey.empty()) {
    fields.SetError("key must not be empty");
  }
  return claim;
}

json
OutcomeToJson(const Outcome& aOutcome)
{
  json headers = json::array();
  for (const auto& [name, value] : aOutcome.mHeaders) {
    headers.push_back({ ToBase64(name), ToBase64(value) });
  }
  return { { "status", aOutcome.mStatus },
           { "headers", std::move(headers) },
           { "body", ToBase64(aOutcome.mBody) },
           { "kept", aOutcome.mBodyKept } };
}

std::shared_ptr<const Outcome>
ParseOutcome(const json& aDocument, std::string& aError)
{
  JsonFields fields{ aDocument, aError };
  auto outcome = std::make_shared<Outcome>();
  std::int64_t status = fields.ReadCount("status");
  if (status < 100 || status > 999) {
    fields.SetError("status must be from 100 to 999");
    status = 0;
  }
  outcome->mStatus = static_cast<int>(status);
  bool failed = false;
  for (const auto& row : fields.ReadArray("headers")) {
    if (!row.is_array() || row.size() != 2 || !row[0].is_string() ||
        !row[1].is_string()) {
      fields.SetError("headers must be a list of pairs of strings");
      break;
    }
    std::string name = FromBase64(row[0].get_ref<const std::string&>(), failed);
    std::string value =
      FromBase64(row[1].get_ref<const std::string&>(), failed);
    outcome->mHeaders.emplace_back(std::move(name), std::move(value));
  }
  outcome->mBody = FromBase64(fields.ReadString("body"), failed);
  outcome->mBodyKept = fields.ReadBool("kept");
  if (failed) {
    fields.SetError("body or headers must be canonical base64");
  }
  return outcome;
}

json
ItemToJson(const RecordItem& aItem)
{
  json item = ToJson(aItem.mClaim);
  item["kind"] = ToName(kRecordItemKindNames, aItem.mKind);
  if (aItem.mOutcome) {
    item["outcome"] = OutcomeToJson(*aItem.mOutcome);
  }
  return item;
}

RecordItem
ParseItem(const json& aDocument, std::string& aError)
{
  JsonFields fields{ aDocument, aError };
  RecordItem item;
  auto kind = ParseName(kRecordItemKindNames, fields.ReadString("kind"));
  if (!kind) {
    fields.SetError("kind must be claim, outcome or not_run");
    return item;
  }
  item.mKind = *kind;
  item.mClaim = ParseClaimFields(aDocument, aError);
  if (item.mKind == RecordItemKind::Outcome) {
    const json* outcome = fields.FindField("outcome");
    if (outcome != nullptr) {
      item.mOutcome = ParseOutcome(*outcome, aError);
    }
  }
  return item;
}

} // namespace

json
ToJson(const SlotStatus& aStatus)
{
  json witnesses = json::array();
  for (const auto& witness : aStatus.mWitnesses) {
    witnesses.push_back(AgentToJson(witness));
  }
  return { { "owner", AgentToJson(aStatus.mOwner) },
           { "epoch", aStatus.mEpoch },
           { "change", aStatus.mWriteCount },
           { "witnesses", std::move(witnesses) },
           { "clean", aStatus.mClean },
           { "incomplete_until_ms", aStatus.mIncompleteUntilMs } };
}

json
ToJson(const Claim& aClaim)
{
  return { { "customer", aClaim.mCustomer },
           { "key", aClaim.mKey },
           { "fingerprint", aClaim.mFingerprint },
           { "request", aClaim.mRequestId },
           { "epoch", aClaim.mEpoch },
           { "attempt", aClaim.mAttempt },
           { "claimed_ms", aClaim.mClaimedMs } };
}

json
ToJson(const RecordBatch& aBatch)
{
  json items = json::array();
  for (const auto& item : aBatch.mItems) {
    items.push_back(ItemToJson(item));
  }
  return { { "epoch", aBatch.mEpoch },
           { "sequence", aBatch.mSequence },
           { "written_ms", aBatch.mWrittenMs },
           { "items", std::move(items) } };
}

tl::expected<SlotStatus, RecordError>
ParseSlotStatus(std::string_view aText)
{
  json document = json::parse(aText, nullptr, false);
  std::string error;
  JsonFields fields{ document, error };
  SlotStatus status;
  if (const json* owner = fields.FindField("owner")) {
    status.mOwner = ParseAgent(*owner, error);
  }
  status.mEpoch = fields.ReadCount("epoch");
  status.mWriteCount = fields.ReadCount("change");
  for (const auto& row : fields.ReadArray("witnesses")) {
    status.mWitnesses.push_back(ParseAgent(row, error));
  }
  status.mClean = fields.ReadBool("clean");
  status.mIncompleteUntilMs = fields.ReadCount("incomplete_until_ms");
  if (status.mEpoch < 1) {
    fields.SetError("epoch must be at least 1");
  }
  if (!status.mWitnesses.empty() && status.mWitnesses.size() != 2) {
    fields.SetError("witnesses must be empty or list two agents");
  }
  if (!error.empty()) {
    return tl::unexpected(RecordError{ error });
  }
  return status;
}

tl::expected<Claim, RecordError>
ParseClaim(const json& aDocument)
{
  std::string error;
  Claim claim = ParseClaimFields(aDocument, error);
  if (!error.empty()) {
    return tl::unexpected(RecordError{ error });
  }
  return claim;
}

tl::expected<RecordBatch, RecordError>
ParseRecordBatch(std::string_view aText)
{
  json document = json::parse(aText, nullptr, false);
  std::string error;
  JsonFields fields{ document, error };
  RecordBatch batch{ .mEpoch = fields.ReadCount("epoch"),
                     .mSequence = fields.ReadCount("sequence"),
                     .mWrittenMs = fields.ReadCount("written_ms"),
                     .mItems = {} };
  for (const auto& row : fields.ReadArray("items")) {
    batch.mItems.push_back(ParseItem(row, error));
    if (!error.empty()) {
      break;
    }
  }
  if (!error.empty()) {
    return tl::unexpected(RecordError{ error });
  }
  return batch;
}

std::size_t
MaxEncodedBytes(const RecordItem& aItem)
{
  // Escaping turns a character of a key or request id into at most two, and one
  // of a customer's name into at most six.
  std::size_t bytes = kItemOverheadBytes + 6 * aItem.mClaim.mCustomer.size() +
                      2 * aItem.mClaim.mKey.size() +
                      2 * aItem.mClaim.mRequestId.size();
  if (aItem.mOutcome) {
    bytes += Base64Bytes(aItem.mOutcome->mBody.size());
    for (const auto& [name, value] : aItem.mOutcome->mHeaders) {
      bytes += Base64Bytes(name.size()) + Base64Bytes(value.size()) +
               kHeaderOverheadBytes;
    }
  }
  return bytes;
}

} // namespace savory
