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

// A frame of an inner stream: 4 bytes of length (big endian), 1 byte of type,
// then the payload.
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

// The largest payload of a frame, in bytes. A longer one is an error.
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

// The bytes received of a stream that do not yet make a whole frame.
struct FrameReader
{
  std::string mPending;
};

std::string
EncodeFrame(FrameType aType, std::string_view aPayload);

// Takes received bytes and gives the frames that they complete, in order.
tl::expected<std::vector<Frame>, WireError>
ReadFrames(FrameReader& aReader, std::string_view aBytes);

// Who sent a message: the host's name, the incarnation of its process and the
// revision of the configuration it has in force.
struct Sender
{
  std::string mHost;
  std::int64_t mIncarnation = 0;
  std::int64_t mRevision = 0;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

// What an entry tells with each piece of work, so that an agent that was paused
// does not run what waited for it meanwhile on an old configuration.
// `mReportClockMs` is the time of the agent's last report on the agent's own
// clock: the work was sent later than that. `mHeadAgeMs` is the age of the
// entry's last known state of the head, 0 in an outage of the store.
struct ConfigFreshness
{
  TimeMs mReportClockMs = 0;
  TimeMs mHeadAgeMs = 0;
};

// A model call, from an entry to an agent; its body follows as a Body frame.
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
  // Whether the agent may let the request wait, as when the entry has no other
  // candidate, and whether it must run with no other request beside it.
  bool mMayQueue = false;
  bool mIsolated = false;
};

// A call of a plain service, from an entry to an agent. The key is empty when
// the caller gave none; the fingerprint covers method, path and body.
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

// The first frame of an answer. A refusal has mAccepted false and proves with
// mExecution what is known of the call.
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
  // The crash of the backend server that ended the request, or 0.
  std::uint64_t mCrashId = 0;
};

// The last frame of an answer: whether it is whole and what it used. Tokens
// are those the backend server counted; the cost is in millionths.
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

// What an agent tells of itself and its backend server. `mPool` is the pool of
// runners or the plain service; `mVersions` holds "model@version". Running is
// the number of requests at the backend server, tokens are those they hold.
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

// Codecs of the messages (CBOR). A decoder refuses bytes that are no CBOR map
// and fields of a wrong type; unknown fields are ignored.
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
// Reading throws nlohmann::json::exception on any other shape.
nlohmann::json
SuspectsToJson(const std::vector<SuspectRow>& aRows);
std::vector<SuspectRow>
SuspectsFromJson(const nlohmann::json& aRows);

// Demand counters as {"entry", "incarnation", "sequence", "customers": [[name,
// demand, usage, waiting]]}. Reading gives nothing for any other shape.
nlohmann::json
DemandToJson(const DemandRow& aRow);
std::optional<DemandRow>
DemandFromJson(const nlohmann::json& aDocument);

// CBOR of any document, for messages without a type of their own.
std::string
EncodeDocument(const nlohmann::json& aDocument);
tl::expected<nlohmann::json, WireError>
DecodeDocument(std::string_view aBytes);

} // namespace savory
