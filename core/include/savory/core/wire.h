#pragma once

#include "savory/core/limits.h"
#include "savory/core/quarantine.h"
#include "savory/core/types.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace savory {

// Types of the frames of a stream between two processes. A frame consists of
// the payload's length (4 bytes, big endian), the type (1 byte) and the
// payload.
enum class FrameType : std::uint8_t
{
  Head = 1,
  Body = 2,
  End = 3,
};

struct Frame
{
  FrameType mType;
  std::string mPayload;
};

// Maximum payload of a frame; a longer one is an error.
inline constexpr std::size_t kMaxFrameBytes = 1 << 20;

enum class WireErrorCode
{
  FrameTooLong,
  UnknownFrameType,
  BadEncoding,
  MissingField,
};

struct WireError
{
  WireErrorCode mCode;
  std::string mReason;
};

// The bytes received from a stream that do not make a complete frame yet.
struct FrameReader
{
  std::string mPending;
};

std::string
EncodeFrame(FrameType aType, std::string_view aPayload);

// Appends received bytes and returns the frames that they complete, in order.
tl::expected<std::vector<Frame>, WireError>
ReadFrames(FrameReader& aReader, std::string_view aBytes);

// The sender of a message: the host's name, the incarnation of its process and
// the revision of the configuration that it has in force.
struct Sender
{
  std::string mHost;
  std::int64_t mIncarnation = 0;
  std::int64_t mRevision = 0;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

// Proof of how fresh the entry's configuration was when it sent a request. With
// it, an agent that was paused does not run the requests that arrived meanwhile
// on an old configuration. `mReportClockMs` is the time, on the agent's own
// clock, of the agent's last report that the entry received: the request was
// sent later than that. `mHeadAgeMs` is the age of the entry's last verified
// state of the head, or 0 during an outage of the store.
struct ConfigFreshness
{
  TimeMs mReportClockMs = 0;
  TimeMs mHeadAgeMs = 0;
};

// A model call from an entry to an agent. The body follows in a Body frame.
struct RunRequest
{
  Sender mSender;
  ConfigFreshness mFreshness;
  std::string mRequestId;
  int mStep = 0;
  int mAttempt = 0;
  std::string mCustomer;
  std::string mModel;
  std::string mVersion;
  std::string mSession;
  TimeMs mDeadlineMs = 0;
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  std::uint64_t mFingerprint = 0;
  int mPriority = 0;
  bool mStream = false;
  // Whether the agent may queue the request, which the entry allows when it has
  // no other candidate, and whether it must run without any other request
  // beside it.
  bool mMayQueue = false;
  bool mIsolated = false;
};

// A call of a plain service from an entry to an agent. `mKey` is the
// idempotency key, empty when the caller gave none; the fingerprint covers
// method, path and body.
struct CallRequest
{
  Sender mSender;
  ConfigFreshness mFreshness;
  std::string mRequestId;
  std::string mCustomer;
  std::string mService;
  std::string mMethod;
  std::string mPath;
  std::string mKey;
  std::uint64_t mFingerprint = 0;
  TimeMs mDeadlineMs = 0;
  Headers mHeaders;
};

// The first frame of an answer. In a refusal, mAccepted is false and mExecution
// states whether the call was executed.
struct AnswerHead
{
  Sender mSender;
  bool mAccepted = false;
  ErrorCode mCode = ErrorCode::Internal;
  ExecutionState mExecution = ExecutionState::Unknown;
  std::string mReason;
  TimeMs mRetryAfterMs = 0;
  std::string mLoadHint;
  int mStatus = 200;
  bool mReplayed = false;
  Headers mHeaders;
  // The id of the crash of the backend server that ended the request, or 0.
  std::uint64_t mCrashId = 0;
};

// The last frame of an answer: whether the answer is complete, and its usage.
// The backend server counted the tokens; the cost is in millionths.
struct AnswerEnd
{
  bool mComplete = false;
  ErrorCode mCode = ErrorCode::Internal;
  ExecutionState mExecution = ExecutionState::Unknown;
  std::string mReason;
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  Micros mCost = 0;
  std::uint64_t mCrashId = 0;
};

// A slot of a plain service that an agent owns, with its epoch.
struct OwnedSlot
{
  int mSlot = 0;
  std::int64_t mEpoch = 0;
};

// The periodic report of an agent about itself and its backend server. `mPool`
// is the pool of runners or the plain service; `mVersions` holds the loaded
// "model@version". `mRunning` is the number of requests at the backend server
// and `mTokensHeld` the number of tokens that they hold there.
struct AgentReport
{
  Sender mSender;
  // The time of the report on the agent's monotonic clock.
  TimeMs mClockMs = 0;
  std::string mPool;
  std::string mZone;
  std::string mAddress;
  bool mIsService = false;
  bool mLeaving = false;
  bool mReachable = true;
  std::vector<std::string> mVersions;
  int mRunning = 0;
  int mQueued = 0;
  int mAllowance = 0;
  std::int64_t mTokensHeld = 0;
  std::int64_t mTokenCapacity = 0;
  std::vector<OwnedSlot> mSlots;
  std::vector<SuspectRow> mSuspects;
};

// CBOR codecs of the messages. A decoder returns an error for bytes that are
// not a CBOR map, for a missing required field and for a field of a wrong type.
// A missing optional field gets its default; unknown fields are ignored.
std::string
Encode(const RunRequest& aMessage);
std::string
Encode(const CallRequest& aMessage);
std::string
Encode(const AnswerHead& aMessage);
std::string
Encode(const AnswerEnd& aMessage);
std::string
Encode(const AgentReport& aMessage);
tl::expected<RunRequest, WireError>
DecodeRunRequest(std::string_view aBytes);
tl::expected<CallRequest, WireError>
DecodeCallRequest(std::string_view aBytes);
tl::expected<AnswerHead, WireError>
DecodeAnswerHead(std::string_view aBytes);
tl::expected<AnswerEnd, WireError>
DecodeAnswerEnd(std::string_view aBytes);
tl::expected<AgentReport, WireError>
DecodeAgentReport(std::string_view aBytes);

// Suspects as a list of [fingerprint, age in ms, [[crash, isolated, cleared]]].
// SuspectsFromJson throws nlohmann::json::exception on any other shape.
nlohmann::json
SuspectsToJson(const std::vector<SuspectRow>& aRows);
std::vector<SuspectRow>
SuspectsFromJson(const nlohmann::json& aRows);

// Demand counters as {"entry", "incarnation", "sequence", "customers": [[name,
// demand, usage, waiting]]}. DemandFromJson returns nothing for any other
// shape.
nlohmann::json
DemandToJson(const DemandRow& aRow);
std::optional<DemandRow>
DemandFromJson(const nlohmann::json& aDocument);

// CBOR codec of a JSON object, for messages that have no struct of their own.
std::string
EncodeDocument(const nlohmann::json& aDocument);
tl::expected<nlohmann::json, WireError>
DecodeDocument(std::string_view aBytes);

} // namespace savory
