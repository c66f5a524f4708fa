#pragma once

#include "node.h"
#include "savory/net/http_server.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <tl/expected.hpp>

namespace savory {

// An error as reported to a caller.
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

// Returns the same error as the last event of a stream that has already
// started.
std::string
MakeStreamError(const CallerError& aError, const std::string& aRequestId);

// Whether the same request may succeed when it is sent again.
bool
MayRetry(ErrorCode aCode);

// The part of a caller's request that all kinds of calls share.
struct CallerContext
{
  std::shared_ptr<const Configuration> mConfig;
  const Customer* mCustomer = nullptr;
  std::string mRequestId;
  std::string mIdempotencyKey;
  TimeMs mDeadlineMs = 0;
  bool mWantsExplanation = false;
};

// Finds the customer by the bearer key and parses the headers Idempotency-Key,
// x-deadline-ms and x-savory-explain.
tl::expected<CallerContext, CallerError>
ParseCallerContext(Node& aNode, const HttpRequest& aRequest);

// Returns the execution state for a refusal before the request was sent to any
// agent. With an idempotency key it is Unknown: NotRun would be a statement
// about the key, and an earlier attempt through another entry may have run.
ExecutionState
RefusalExecutionState(const CallerContext& aContext);

// The fields of a chat-completions request that the router uses. The input
// token count is an estimate: four bytes of text per token and a fixed number
// per image. The output token count is "max_tokens" or a default.
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
