#include "savory/core/wire.h"

#include "cbor.h"

#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

constexpr std::size_t kFrameHeaderBytes = 5;

json
SenderToJson(const Sender& aSender)
{
  return { { "from", aSender.mHost },
           { "incarnation", aSender.mIncarnation },
           { "revision", aSender.mRevision } };
}

Sender
ParseSender(const json& aMessage)
{
  return { .mHost = aMessage.at("from").get<std::string>(),
           .mIncarnation = aMessage.at("incarnation").get<std::int64_t>(),
           .mRevision = aMessage.at("revision").get<std::int64_t>() };
}

void
AddFreshness(json& aMessage, const ConfigFreshness& aFreshness)
{
  aMessage["echo_ms"] = aFreshness.mReportClockMs;
  aMessage["verified_age_ms"] = aFreshness.mHeadAgeMs;
}

ConfigFreshness
ParseFreshness(const json& aMessage)
{
  return { .mReportClockMs = aMessage.at("echo_ms").get<TimeMs>(),
           .mHeadAgeMs = aMessage.at("verified_age_ms").get<TimeMs>() };
}

ErrorCode
ParseErrorCode(const json& aMessage)
{
  return ParseName(kErrorCodeNames, aMessage.value("code", std::string()))
    .value_or(ErrorCode::Internal);
}

// A missing or unknown value counts as Unknown, the only safe assumption.
ExecutionState
ParseExecutionState(const json& aMessage)
{
  return ParseName(kExecutionStateNames, aMessage.value("ran", std::string()))
    .value_or(ExecutionState::Unknown);
}

std::string
ToCbor(const json& aMessage)
{
  std::string bytes;
  json::to_cbor(aMessage, bytes);
  return bytes;
}

// Decodes bytes and converts the document to a message with `aParse`.
// Exceptions of the JSON library become a WireError.
template<class T, class Parse>
tl::expected<T, WireError>
DecodeAs(std::string_view aBytes, Parse aParse)
{
  auto document = DecodeDocument(aBytes);
  if (!document) {
    return tl::unexpected(document.error());
  }
  try {
    return aParse(*document);
  } catch (const json::exception& error) {
    return tl::unexpected(
      WireError{ WireErrorCode::MissingField, error.what() });
  }
}

} // namespace

json
SuspectsToJson(const std::vector<SuspectRow>& aRows)
{
  json rows = json::array();
  for (const auto& row : aRows) {
    json crashes = json::array();
    for (const auto& crash : row.mCrashes) {
      crashes.push_back({ crash.mId, crash.mIsolated, crash.mCleared });
    }
    rows.push_back({ row.mFingerprint, row.mAgeMs, crashes });
  }
  return rows;
}

json
DemandToJson(const DemandRow& aRow)
{
  json customers = json::array();
  for (const auto& customer : aRow.mCustomers) {
    customers.push_back({ customer.mCustomer,
                          customer.mDemand,
                          customer.mUsage,
                          customer.mWaiting });
  }
  return { { "entry", aRow.mEntry },
           { "incarnation", aRow.mIncarnation },
           { "sequence", aRow.mSequence },
           { "customers", customers } };
}

std::optional<DemandRow>
DemandFromJson(const json& aDocument)
{
  try {
    DemandRow row;
    row.mEntry = aDocument.at("entry").get<std::string>();
    row.mIncarnation = aDocument.at("incarnation").get<std::int64_t>();
    row.mSequence = aDocument.at("sequence").get<std::int64_t>();
    for (const auto& customer : aDocument.at("customers")) {
      row.mCustomers.push_back({ customer.at(0).get<std::string>(),
                                 customer.at(1).get<double>(),
                                 customer.at(2).get<double>(),
                                 customer.at(3).get<bool>() });
    }
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::vector<SuspectRow>
SuspectsFromJson(const json& aRows)
{
  std::vector<SuspectRow> rows;
  for (const auto& row : aRows) {
    SuspectRow suspect;
    suspect.mFingerprint = row.at(0).get<std::uint64_t>();
    suspect.mAgeMs = row.at(1).get<TimeMs>();
    for (const auto& crash : row.at(2)) {
      suspect.mCrashes.push_back({ crash.at(0).get<std::uint64_t>(),
                                   crash.at(1).get<bool>(),
                                   crash.at(2).get<bool>() });
    }
    rows.push_back(std::move(suspect));
  }
  return rows;
}

std::string
EncodeFrame(FrameType aType, std::string_view aPayload)
{
  std::string bytes;
  bytes.reserve(kFrameHeaderBytes + aPayload.size());
  auto size = static_cast<std::uint32_t>(aPayload.size());
  bytes.push_back(static_cast<char>(size >> 24));
  bytes.push_back(static_cast<char>(size >> 16));
  bytes.push_back(static_cast<char>(size >> 8));
  bytes.push_back(static_cast<char>(size));
  bytes.push_back(static_cast<char>(aType));
  bytes.append(aPayload);
  return bytes;
}

tl::expected<std::vector<Frame>, WireError>
ReadFrames(FrameReader& aReader, std::string_view aBytes)
{
  aReader.mPending.append(aBytes);
  std::vector<Frame> frames;
  std::string_view rest = aReader.mPending;
  while (rest.size() >= kFrameHeaderBytes) {
    // 1. Read length and type.
    std::size_t size = 0;
    for (int i = 0; i < 4; ++i) {
      size = size << 8 | static_cast<unsigned char>(rest[i]);
    }
    auto type = static_cast<unsigned char>(rest[4]);
    if (size > kMaxFrameBytes) {
      return tl::unexpected(WireError{ WireErrorCode::FrameTooLong,
                                       "frame of " + std::to_string(size) +
                                         " bytes exceeds the limit" });
    }
    if (type < 1 || type > 3) {
      return tl::unexpected(
        WireError{ WireErrorCode::UnknownFrameType,
                   "unknown frame type " + std::to_string(type) });
    }
    // 2. Extract the payload once it is complete.
    if (rest.size() < kFrameHeaderBytes + size) {
      break;
    }
    frames.push_back({ static_cast<FrameType>(type),
                       std::string(rest.substr(kFrameHeaderBytes, size)) });
    rest.remove_prefix(kFrameHeaderBytes + size);
  }
  aReader.mPending.erase(0, aReader.mPending.size() - rest.size());
  return frames;
}

std::string
EncodeDocument(const json& aDocument)
{
  return ToCbor(aDocument);
}

tl::expected<json, WireError>
DecodeDocument(std::string_view aBytes)
{
  auto document = DecodeCbor(aBytes);
  if (!document) {
    return tl::unexpected(
      WireError{ WireErrorCode::BadEncoding, document.error() });
  }
  if (!document->is_object()) {
    return tl::unexpected(
      WireError{ WireErrorCode::BadEncoding, "message is not a CBOR map" });
  }
  return std::move(*document);
}

std::string
Encode(const RunRequest& aMessage)
{
  json message = SenderToJson(aMessage.mSender);
  AddFreshness(message, aMessage.mFreshness);
  message["request"] = aMessage.mRequestId;
  message["step"] = aMessage.mStep;
  message["attempt"] = aMessage.mAttempt;
  message["customer"] = aMessage.mCustomer;
  message["model"] = aMessage.mModel;
  message["version"] = aMessage.mVersion;
  message["session"] = aMessage.mSession;
  message["deadline_ms"] = aMessage.mDeadlineMs;
  message["input_tokens"] = aMessage.mInputTokens;
  message["output_tokens"] = aMessage.mOutputTokens;
  message["fingerprint"] = aMessage.mFingerprint;
  message["priority"] = aMessage.mPriority;
  message["stream"] = aMessage.mStream;
  message["may_queue"] = aMessage.mMayQueue;
  message["alone"] = aMessage.mIsolated;
  return ToCbor(message);
}

tl::expected<RunRequest, WireError>
DecodeRunRequest(std::string_view aBytes)
{
  return DecodeAs<RunRequest>(aBytes, [](const json& aMessage) {
    return RunRequest{
      .mSender = ParseSender(aMessage),
      .mFreshness = ParseFreshness(aMessage),
      .mRequestId = aMessage.at("request").get<std::string>(),
      .mStep = aMessage.value("step", 0),
      .mAttempt = aMessage.value("attempt", 0),
      .mCustomer = aMessage.at("customer").get<std::string>(),
      .mModel = aMessage.at("model").get<std::string>(),
      .mVersion = aMessage.at("version").get<std::string>(),
      .mSession = aMessage.value("session", std::string()),
      .mDeadlineMs = aMessage.at("deadline_ms").get<TimeMs>(),
      .mInputTokens = aMessage.value("input_tokens", std::int64_t(0)),
      .mOutputTokens = aMessage.value("output_tokens", std::int64_t(0)),
      .mFingerprint = aMessage.value("fingerprint", std::uint64_t(0)),
      .mPriority = aMessage.value("priority", 0),
      .mStream = aMessage.value("stream", false),
      .mMayQueue = aMessage.value("may_queue", false),
      .mIsolated = aMessage.value("alone", false),
    };
  });
}

std::string
Encode(const CallRequest& aMessage)
{
  json message = SenderToJson(aMessage.mSender);
  AddFreshness(message, aMessage.mFreshness);
  message["request"] = aMessage.mRequestId;
  message["customer"] = aMessage.mCustomer;
  message["service"] = aMessage.mService;
  message["method"] = aMessage.mMethod;
  message["path"] = aMessage.mPath;
  message["key"] = aMessage.mKey;
  message["fingerprint"] = aMessage.mFingerprint;
  message["deadline_ms"] = aMessage.mDeadlineMs;
  message["headers"] = aMessage.mHeaders;
  return ToCbor(message);
}

tl::expected<CallRequest, WireError>
DecodeCallRequest(std::string_view aBytes)
{
  return DecodeAs<CallRequest>(aBytes, [](const json& aMessage) {
    return CallRequest{
      .mSender = ParseSender(aMessage),
      .mFreshness = ParseFreshness(aMessage),
      .mRequestId = aMessage.at("request").get<std::string>(),
      .mCustomer = aMessage.at("customer").get<std::string>(),
      .mService = aMessage.at("service").get<std::string>(),
      .mMethod = aMessage.at("method").get<std::string>(),
      .mPath = aMessage.at("path").get<std::string>(),
      .mKey = aMessage.value("key", std::string()),
      .mFingerprint = aMessage.value("fingerprint", std::uint64_t(0)),
      .mDeadlineMs = aMessage.at("deadline_ms").get<TimeMs>(),
      .mHeaders = aMessage.value("headers", Headers()),
    };
  });
}

std::string
Encode(const AnswerHead& aMessage)
{
  json message = SenderToJson(aMessage.mSender);
  message["accepted"] = aMessage.mAccepted;
  message["code"] = ToName(kErrorCodeNames, aMessage.mCode);
  message["ran"] = ToName(kExecutionStateNames, aMessage.mExecution);
  message["reason"] = aMessage.mReason;
  message["retry_after_ms"] = aMessage.mRetryAfterMs;
  message["hint"] = aMessage.mLoadHint;
  message["status"] = aMessage.mStatus;
  message["replayed"] = aMessage.mReplayed;
  message["headers"] = aMessage.mHeaders;
  message["crash"] = aMessage.mCrashId;
  return ToCbor(message);
}

tl::expected<AnswerHead, WireError>
DecodeAnswerHead(std::string_view aBytes)
{
  return DecodeAs<AnswerHead>(aBytes, [](const json& aMessage) {
    return AnswerHead{
      .mSender = ParseSender(aMessage),
      .mAccepted = aMessage.at("accepted").get<bool>(),
      .mCode = ParseErrorCode(aMessage),
      .mExecution = ParseExecutionState(aMessage),
      .mReason = aMessage.value("reason", std::string()),
      .mRetryAfterMs = aMessage.value("retry_after_ms", TimeMs(0)),
      .mLoadHint = aMessage.value("hint", std::string()),
      .mStatus = aMessage.value("status", 200),
      .mReplayed = aMessage.value("replayed", false),
      .mHeaders = aMessage.value("headers", Headers()),
      .mCrashId = aMessage.value("crash", std::uint64_t(0)),
    };
  });
}

std::string
Encode(const AnswerEnd& aMessage)
{
  return ToCbor({ { "complete", aMessage.mComplete },
                  { "code", ToName(kErrorCodeNames, aMessage.mCode) },
                  { "ran", ToName(kExecutionStateNames, aMessage.mExecution) },
                  { "reason", aMessage.mReason },
                  { "input_tokens", aMessage.mInputTokens },
                  { "output_tokens", aMessage.mOutputTokens },
                  { "cost", aMessage.mCost },
                  { "crash", aMessage.mCrashId } });
}

tl::expected<AnswerEnd, WireError>
DecodeAnswerEnd(std::string_view aBytes)
{
  return DecodeAs<AnswerEnd>(aBytes, [](const json& aMessage) {
    return AnswerEnd{
      .mComplete = aMessage.at("complete").get<bool>(),
      .mCode = ParseErrorCode(aMessage),
      .mExecution = ParseExecutionState(aMessage),
      .mReason = aMessage.value("reason", std::string()),
      .mInputTokens = aMessage.value("input_tokens", std::int64_t(0)),
      .mOutputTokens = aMessage.value("output_tokens", std::int64_t(0)),
      .mCost = aMessage.value("cost", Micros(0)),
      .mCrashId = aMessage.value("crash", std::uint64_t(0)),
    };
  });
}

std::string
Encode(const AgentReport& aMessage)
{
  json message = SenderToJson(aMessage.mSender);
  message["clock_ms"] = aMessage.mClockMs;
  message["pool"] = aMessage.mPool;
  message["zone"] = aMessage.mZone;
  message["address"] = aMessage.mAddress;
  message["service"] = aMessage.mIsService;
  message["leaving"] = aMessage.mLeaving;
  message["reachable"] = aMessage.mReachable;
  message["versions"] = aMessage.mVersions;
  message["running"] = aMessage.mRunning;
  message["queued"] = aMessage.mQueued;
  message["allowance"] = aMessage.mAllowance;
  message["held"] = aMessage.mTokensHeld;
  message["capacity"] = aMessage.mTokenCapacity;
  message["slots"] = json::array();
  for (const auto& slot : aMessage.mSlots) {
    message["slots"].push_back({ slot.mSlot, slot.mEpoch });
  }
  message["suspects"] = SuspectsToJson(aMessage.mSuspects);
  return ToCbor(message);
}

tl::expected<AgentReport, WireError>
DecodeAgentReport(std::string_view aBytes)
{
  return DecodeAs<AgentReport>(aBytes, [](const json& aMessage) {
    AgentReport report{
      .mSender = ParseSender(aMessage),
      .mClockMs = aMessage.value("clock_ms", TimeMs(0)),
      .mPool = aMessage.at("pool").get<std::string>(),
      .mZone = aMessage.at("zone").get<std::string>(),
      .mAddress = aMessage.value("address", std::string()),
      .mIsService = aMessage.value("service", false),
      .mLeaving = aMessage.value("leaving", false),
      .mReachable = aMessage.value("reachable", true),
      .mVersions = aMessage.value("versions", std::vector<std::string>()),
      .mRunning = aMessage.value("running", 0),
      .mQueued = aMessage.value("queued", 0),
      .mAllowance = aMessage.value("allowance", 0),
      .mTokensHeld = aMessage.value("held", std::int64_t(0)),
      .mTokenCapacity = aMessage.value("capacity", std::int64_t(0)),
      .mSlots = {},
      .mSuspects = {},
    };
    for (const auto& slot : aMessage.at("slots")) {
      report.mSlots.push_back(
        { slot.at(0).get<int>(), slot.at(1).get<std::int64_t>() });
    }
    report.mSuspects =
      SuspectsFromJson(aMessage.value("suspects", json::array()));
    return report;
  });
}

} // namespace savory
