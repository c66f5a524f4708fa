#include "caller_api.h"

#include "savory/core/identity.h"
#include "savory/core/json_depth.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

constexpr std::int64_t kBytesPerToken = 4;
constexpr std::int64_t kTokensPerImage = 1024;
constexpr std::int64_t kDefaultOutputTokens = 256;
constexpr std::int64_t kMaxOutputTokens = 1 << 20;
constexpr TimeMs kMaxDeadlineMs = 3600000;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;

// Bodies are passed on with another model's name, for which they are written
// anew.
constexpr std::size_t kMaxBodyDepth = 128;

json
MakeErrorDocument(const CallerError& aError, const std::string& aRequestId)
{
  return { { "error",
             { { "code", ToName(kErrorCodeNames, aError.mCode) },
               { "message", aError.mMessage },
               { "ran", ToName(kExecutionStateNames, aError.mExecution) },
               { "retry", MayRetry(aError.mCode) },
               { "retry_after_ms", aError.mRetryAfterMs },
               { "request_id", aRequestId } } } };
}

// Replaces invalid UTF-8, since an error message may quote any bytes of a
// caller.
std::string
SerializeJson(const json& aDocument)
{
  return aDocument.dump(-1, ' ', false, json::error_handler_t::replace);
}

tl::unexpected<CallerError>
BadRequest(const std::string& aMessage)
{
  return tl::unexpected(
    CallerError{ ErrorCode::BadRequest, aMessage, ExecutionState::NotRun, 0 });
}

// Adds the text and images of a message's content: null, a string or a list of
// parts. Returns false when the content has another form.
bool
ParseContent(const json& aContent, ChatRequest& aRequest)
{
  if (aContent.is_string()) {
    aRequest.mPrompt += aContent.get_ref<const std::string&>();
    aRequest.mPrompt += '\n';
    return true;
  }
  if (!aContent.is_array()) {
    return aContent.is_null();
  }
  for (const auto& part : aContent) {
    if (!part.is_object()) {
      return false;
    }
    auto type = part.find("type");
    if (type != part.end() && *type == "image_url") {
      aRequest.mHasImages = true;
      aRequest.mInputTokens += kTokensPerImage;
    } else if (part.contains("text") && part["text"].is_string()) {
      aRequest.mPrompt += part["text"].get_ref<const std::string&>();
      aRequest.mPrompt += '\n';
    }
  }
  return true;
}

} // namespace

bool
MayRetry(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BadRequest:
    case ErrorCode::BodyTooLarge:
    case ErrorCode::Unauthorized:
    case ErrorCode::NotAllowed:
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownService:
    case ErrorCode::SessionVersionWithdrawn:
    case ErrorCode::KeyReused:
    case ErrorCode::Quarantined:
    case ErrorCode::OutcomeUnknown:
      return false;
    default:
      return true;
  }
}

void
SendError(HttpReply& aReply,
          const CallerError& aError,
          const std::string& aRequestId)
{
  Headers headers{ { "Content-Type", "application/json" },
                   { "x-savory-request-id", aRequestId } };
  if (aError.mRetryAfterMs > 0) {
    headers.emplace_back("Retry-After",
                         std::to_string((aError.mRetryAfterMs + 999) / 1000));
  }
  aReply.Send(HttpStatus(aError.mCode),
              headers,
              SerializeJson(MakeErrorDocument(aError, aRequestId)) + "\n");
}

std::string
MakeStreamError(const CallerError& aError, const std::string& aRequestId)
{
  return "data: " + SerializeJson(MakeErrorDocument(aError, aRequestId)) +
         "\n\n";
}

tl::expected<CallerContext, CallerError>
ParseCallerContext(Node& aNode, const HttpRequest& aRequest)
{
  CallerContext context;
  context.mConfig = aNode.mConfig;

  // 1. The customer.
  if (!context.mConfig) {
    return tl::unexpected(CallerError{ ErrorCode::NoConfiguration,
                                       "no configuration has been loaded yet",
                                       ExecutionState::NotRun,
                                       1000 });
  }
  std::string_view bearer = HeaderValue(aRequest.mHeaders, "authorization");
  constexpr std::string_view kBearer = "Bearer ";
  if (bearer.substr(0, kBearer.size()) == kBearer) {
    context.mCustomer =
      FindCustomerByKey(*context.mConfig, bearer.substr(kBearer.size()));
  }
  if (!context.mCustomer) {
    return tl::unexpected(CallerError{ ErrorCode::Unauthorized,
                                       "the bearer key is missing or unknown",
                                       ExecutionState::NotRun,
                                       0 });
  }

  // 2. The idempotency key, from which the request id is derived.
  context.mIdempotencyKey = HeaderValue(aRequest.mHeaders, "idempotency-key");
  if (context.mIdempotencyKey.size() > kMaxIdempotencyKeyBytes) {
    return BadRequest("Idempotency-Key is longer than 256 bytes");
  }
  context.mRequestId =
    context.mIdempotencyKey.empty()
      ? "rq-" + MakeRandomId(aNode)
      : RequestIdForKey(context.mCustomer->mName, context.mIdempotencyKey);

  // 3. The deadline.
  context.mDeadlineMs = PresetInForce(*context.mConfig).mDeadlineMs;
  std::string_view deadline = HeaderValue(aRequest.mHeaders, "x-deadline-ms");
  if (!deadline.empty()) {
    TimeMs value = 0;
    auto [end, error] = std::from_chars(
      deadline.data(), deadline.data() + deadline.size(), value);
    if (error != std::errc() || end != deadline.data() + deadline.size() ||
        value < 1 || value > kMaxDeadlineMs) {
      return BadRequest("x-deadline-ms must be a number from 1 to 3600000");
    }
    context.mDeadlineMs = value;
  }
  context.mWantsExplanation =
    HeaderValue(aRequest.mHeaders, "x-savory-explain") == "true";
  return context;
}

ExecutionState
RefusalExecutionState(const CallerContext& aContext)
{
  return aContext.mIdempotencyKey.empty() ? ExecutionState::NotRun
                                          : ExecutionState::Unknown;
}

tl::expected<ChatRequest, CallerError>
ParseChatRequest(const std::string& aBody)
{
  if (IsNestedDeeper(aBody, kMaxBodyDepth)) {
    return BadRequest("the body is nested too deeply");
  }
  json document = json::parse(aBody, nullptr, false);
  if (!document.is_object()) {
    return BadRequest("the body is not a JSON object");
  }
  ChatRequest request;
  if (document.contains("model")) {
    if (!document["model"].is_string()) {
      return BadRequest("\"model\" must be a string");
    }
    request.mModel = document["model"].get<std::string>();
  }
  if (request.mModel == "auto") {
    request.mModel.clear();
  }
  auto messages = document.find("messages");
  if (messages == document.end() || !messages->is_array() ||
      messages->empty()) {
    return BadRequest("\"messages\" must be a non-empty list");
  }
  for (const auto& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !ParseContent(message["content"], request)) {
      return BadRequest(
        "each message must be an object with a valid \"content\"");
    }
  }
  auto stream = document.find("stream");
  if (stream != document.end()) {
    if (!stream->is_boolean()) {
      return BadRequest("\"stream\" must be true or false");
    }
    request.mStream = stream->get<bool>();
  }
  request.mOutputTokens = kDefaultOutputTokens;
  auto maxTokens = document.find("max_tokens");
  if (maxTokens != document.end()) {
    if (!maxTokens->is_number_integer() || maxTokens->get<std::int64_t>() < 1 ||
        maxTokens->get<std::int64_t>() > kMaxOutputTokens) {
      return BadRequest("\"max_tokens\" must be a number from 1 to 1048576");
    }
    request.mOutputTokens = maxTokens->get<std::int64_t>();
  }
  request.mInputTokens +=
    static_cast<std::int64_t>(request.mPrompt.size()) / kBytesPerToken + 1;
  return request;
}

} // namespace savory
