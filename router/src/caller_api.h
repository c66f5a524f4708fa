#pragma once

#include "node.h"
#include "savory/net/http_server.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <tl/expected.hpp>

namespace savory {

// An error as the callers' interface shows it.
struct CallerError
{
  ErrorCode mCode = ErrorCode::Internal;
  std::string mMessage;
  ExecutionState mExecution = ExecutionState::NotRun;
  TimeMs mRetryAfterMs = 0;
};

// Sends an error as JSON: {"error": {"code", "message", "ran", "retry",
// "retry_after_ms", "request_id"}}. docs/errors.md lists the codes.
void
SendError(HttpReply& aReply,
          const CallerError& aError,
          const std::string& aRequestId);

// The same error as the last event of a stream that has already begun.
std::string
MakeStreamError(const CallerError& aError, const std::string& aRequestId);

// Whether sending the same request again may help.
bool
MayRetry(ErrorCode aCode);

// What every call of the callers' interface has in common.
struct CallerContext
{
  std::shared_ptr<const Configuration> mConfig;
  const Customer* mCustomer = nullptr;
  std::string mRequestId;
  std::string mIdempotencyKey;
  TimeMs mDeadlineMs = 0;
  bool mWantsExplanation = false;
};

// Reads the bearer key, Idempotency-Key and x-deadline-ms of a request and
// finds its customer.
tl::expected<CallerContext, CallerError>
ParseCallerContext(Node& aNode, const HttpRequest& aRequest);

// What a refusal before any agent was asked may say. "Not run" speaks for the
// key, and an earlier attempt through another entry may have run.
ExecutionState
RefusalExecutionState(const CallerContext& aContext);

// A model call in the chat-completions convention, as far as the router reads
// it. Token counts are estimates: four bytes of text a token, a fixed number
// for each image.
struct ChatRequest
{
  std::string mModel;
  bool mStream = false;
  bool mHasImages = false;
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  std::string mPrompt;
};

tl::expected<ChatRequest, CallerError>
ParseChatRequest(const std::string& aBody);

} // namespace savory
