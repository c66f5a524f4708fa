#include "savory/net/http_link.h"

#include "savory/core/answer_use.h"
#include "savory/net/socket_address.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace savory {

namespace {

// How many bytes of pipelined requests are read while one request is being
// answered; further bytes stay in the socket.
constexpr std::size_t kMaxPipelinedBytes = 8 * 1024;

// How many bytes are read ahead of the parser while a request arrives. A header
// section stays in the input until it is complete, so that this is more than
// the longest one of any configuration in use.
constexpr std::size_t kMaxInputBytes = 64 * 1024;

// What a connection takes itself: its objects, parser and buffer heads.
constexpr std::size_t kLinkBytes = 3 * 1024;

// What the allocator adds to a string outside of its object.
constexpr std::size_t kAllocationBytes = 16;

// The rest of an input that is shorter than this is copied to a small buffer,
// because the one that holds it has the size of the last reads.
constexpr std::size_t kMaxCompactedBytes = 64;

// Retry-After of requests for which there is no memory, in seconds.
constexpr std::string_view kRetryAfterS = "1";

// How long a finished answer is kept for a caller whose socket accepts no
// bytes.
constexpr TimeMs kMaxLingerMs = 20000;

struct ReasonPhraseRow
{
  int mStatus;
  std::string_view mReason;
};

constexpr std::array<ReasonPhraseRow, 20> kReasonPhrases{ {
  { 200, "OK" },
  { 201, "Created" },
  { 202, "Accepted" },
  { 204, "No Content" },
  { 400, "Bad Request" },
  { 401, "Unauthorized" },
  { 403, "Forbidden" },
  { 404, "Not Found" },
  { 408, "Request Timeout" },
  { 409, "Conflict" },
  { 412, "Precondition Failed" },
  { 413, "Content Too Large" },
  { 421, "Misdirected Request" },
  { 429, "Too Many Requests" },
  { 431, "Request Header Fields Too Large" },
  { 500, "Internal Server Error" },
  { 501, "Not Implemented" },
  { 502, "Bad Gateway" },
  { 503, "Service Unavailable" },
  { 504, "Gateway Timeout" },
} };

// Memory of a string, which holds short texts itself.
std::size_t
MemoryOf(const std::string& aText)
{
  static const std::size_t kInnerBytes = std::string().capacity();
  return sizeof aText + (aText.capacity() > kInnerBytes
                           ? aText.capacity() + kAllocationBytes
                           : 0);
}

// Memory of a head: a field of a few bytes on the wire takes many times that.
std::size_t
MemoryOf(const HttpHead& aHead)
{
  std::size_t bytes = MemoryOf(aHead.mTarget);
  for (const auto& [name, value] : aHead.mHeaders) {
    bytes += MemoryOf(name) + MemoryOf(value);
  }
  return bytes;
}

} // namespace

std::string_view
ReasonPhrase(int aStatus)
{
  for (const auto& row : kReasonPhrases) {
    if (row.mStatus == aStatus) {
      return row.mReason;
    }
  }
  return "Status";
}

CallerLink::CallerLink(HttpFrontend& aFrontend,
                       bufferevent* aBuffer,
                       std::string aPeerAddress)
  : mFrontend(aFrontend)
  , mBuffer(aBuffer)
  , mLastActivityMs(MonotonicMs())
{
  mHolder = AddByteHolder(*aFrontend.mBudget, aPeerAddress);
  mRequest.mPeerAddress = std::move(aPeerAddress);
  bufferevent_setcb(
    mBuffer,
    [](bufferevent*, void* aSelf) {
      auto self = static_cast<CallerLink*>(aSelf)->shared_from_this();
      self->mLastActivityMs = MonotonicMs();
      self->Read();
    },
    [](bufferevent*, void* aSelf) {
      auto self = static_cast<CallerLink*>(aSelf)->shared_from_this();
      self->mLastActivityMs = MonotonicMs();
      self->OnDrained();
    },
    [](bufferevent*, short, void* aSelf) {
      static_cast<CallerLink*>(aSelf)->shared_from_this()->Close();
    },
    this);
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  ResetReader();
  UpdateHeldBytes();
}

CallerLink::~CallerLink()
{
  if (mBuffer) {
    bufferevent_free(mBuffer);
  }
}

void
CallerLink::ResetReader()
{
  const FrontendLimits& limits = mFrontend.mLimits;
  mReader = std::make_unique<HttpReader>(
    HttpReader::Kind::Request,
    HttpReaderLimits{ limits.mMaxHeaderBytes, limits.mMaxBodyBytes });
  mHeadReceived = false;
  mBodyLength.reset();
  bufferevent_setwatermark(mBuffer, EV_READ, 0, kMaxInputBytes);
  mReader->mOnHead = [this](const HttpHead& aHead) {
    mRequest.mHead = aHead;
    mHeadReceived = true;
    mHeadBytes = MemoryOf(mRequest.mHead);
    mBodyLength = aHead.mLength;
    const std::string* expect = FindHeader(aHead.mHeaders, "Expect");
    if (expect && EqualHeaderNames(*expect, "100-continue")) {
      static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
      bufferevent_write(mBuffer, kContinue.data(), kContinue.size());
    }
  };
  mReader->mOnBody = [this](std::string_view aBytes) {
    mRequest.mBody.reserve(PlanBodyCapacity(aBytes.size()));
    mRequest.mBody += aBytes;
  };
}

// Returns the capacity of the body's buffer with room for more bytes. It grows
// by half, and not beyond what may still arrive, as it counts against the
// budget whether it is filled or not.
std::size_t
CallerLink::PlanBodyCapacity(std::size_t aMoreBytes) const
{
  const std::string& body = mRequest.mBody;
  std::size_t needed = body.size() + aMoreBytes;
  if (needed <= body.capacity()) {
    return body.capacity();
  }
  std::size_t most = mBodyLength.value_or(mFrontend.mLimits.mMaxBodyBytes);
  std::size_t grown = body.capacity() + body.capacity() / 2;
  return std::max(needed, std::min(grown, most));
}

// Reserves memory for input bytes that are about to be parsed. Returns whether
// the budget allows it.
bool
CallerLink::TryReserve(std::size_t aInputBytes)
{
  std::size_t capacity = PlanBodyCapacity(aInputBytes);
  std::size_t more = capacity - mRequest.mBody.capacity();
  if (more > 0 && !MayHold(*mFrontend.mBudget, mHolder, more)) {
    return false;
  }
  if (mHeadReceived) {
    mRequest.mBody.reserve(capacity);
  }
  return true;
}

// Stops reading until the budget has headroom; the sender is slowed down by
// its socket. If too many wait already, the request is refused.
void
CallerLink::Wait()
{
  if (mIsWaiting) {
    return;
  }
  if (!MayWait(*mFrontend.mBudget)) {
    Shed(ShedReason::NoHeadroom);
    return;
  }
  mIsWaiting = true;
  SetWaiting(*mFrontend.mBudget, mHolder, true, MonotonicMs());
  bufferevent_disable(mBuffer, EV_READ);
}

void
CallerLink::TryResume()
{
  if (!mIsWaiting || !mBuffer ||
      !TryReserve(evbuffer_get_length(bufferevent_get_input(mBuffer)))) {
    return;
  }
  auto self = shared_from_this();
  mIsWaiting = false;
  mLastActivityMs = MonotonicMs();
  SetWaiting(*mFrontend.mBudget, mHolder, false, mLastActivityMs);
  bufferevent_enable(mBuffer, EV_READ);
  Read();
}

// Refuses a request that has not arrived completely.
void
CallerLink::Shed(ShedReason aReason)
{
  std::string_view name = ToName(kShedReasonNames, aReason);
  if (aReason == ShedReason::NoHeadroom) {
    Reject(503, name, { { "Retry-After", std::string(kRetryAfterS) } });
  } else {
    Reject(408, name);
  }
}

// Moves a short rest of the input to a buffer of its own size.
void
CallerLink::CompactInput()
{
  evbuffer* input = bufferevent_get_input(mBuffer);
  std::size_t size = evbuffer_get_length(input);
  if (size == 0 || size > kMaxCompactedBytes) {
    return;
  }
  std::array<char, kMaxCompactedBytes> rest{};
  evbuffer_remove(input, rest.data(), size);
  evbuffer_prepend(input, rest.data(), size);
}

// States what the connection holds. Buffers of libevent are up to half empty.
void
CallerLink::UpdateHeldBytes()
{
  std::size_t bytes = 0;
  if (mBuffer) {
    std::size_t input = evbuffer_get_length(bufferevent_get_input(mBuffer));
    bytes = kLinkBytes + input + input / 2 + mHeadBytes +
            mRequest.mBody.capacity() + mServedBytes + UnsentBytes();
  }
  ByteBudget& budget = *mFrontend.mBudget;
  std::size_t sharedBefore = budget.mSharedBytes;
  SetHeldBytes(budget, mHolder, bytes);
  if (budget.mSharedBytes < sharedBefore && budget.mWaitingCount > 0) {
    mFrontend.ScheduleResume();
  }
}

void
CallerLink::Read()
{
  if (mBusy || mReading || mIsWaiting || mCloseWhenDrained || !mBuffer) {
    return;
  }
  evbuffer* input = bufferevent_get_input(mBuffer);
  std::size_t size = evbuffer_get_length(input);
  if (size == 0) {
    return;
  }
  ByteBudget& budget = *mFrontend.mBudget;
  TimeMs now = MonotonicMs();
  if (!mReader->IsStarted()) {
    mRequestStartMs = now;
  }
  if (!budget.mHolders[mHolder].mIsReceiving) {
    OnReceiveStarted(budget, mHolder, now);
  }
  UpdateHeldBytes();
  if (!TryReserve(size)) {
    Wait();
    return;
  }
  bool hadHead = mHeadReceived;
  mReading = true;
  auto fed = mReader->Feed(input);
  mReading = false;
  if (!fed) {
    switch (fed.error()) {
      case HttpReadError::HeaderTooLong:
        Reject(431, "header-too-long");
        return;
      case HttpReadError::BodyTooLong:
        Reject(413, "body-too-long");
        return;
      default:
        Reject(400, "malformed");
        return;
    }
  }
  if (!hadHead && !MayHold(budget, mHolder, mHeadBytes)) {
    Shed(ShedReason::NoHeadroom);
    return;
  }
  if (mReader->IsComplete()) {
    Dispatch();
    return;
  }
  CompactInput();
  std::size_t received = mRequest.mBody.size();
  std::size_t remaining =
    mBodyLength && *mBodyLength > received ? *mBodyLength - received : 0;
  OnReceived(budget, mHolder, size, remaining, now);
  UpdateHeldBytes();
}

void
CallerLink::Dispatch()
{
  mBusy = true;
  mAnswerStarted = false;
  mAnswerHasNoBody = mRequest.mHead.mMethod == "HEAD";
  mKnowsChunks = !mRequest.mHead.mIsHttp10;
  if (!mRequest.mHead.mKeepAlive) {
    mCloseAfterAnswer = true;
  }
  IncomingRequest request = std::move(mRequest);
  mRequest = {};
  mRequest.mPeerAddress = request.mPeerAddress;
  mServedBytes = request.mBody.capacity() + std::exchange(mHeadBytes, 0);
  bufferevent_setwatermark(mBuffer, EV_READ, 0, kMaxPipelinedBytes);
  OnReceiveEnded(*mFrontend.mBudget, mHolder);
  UpdateHeldBytes();
  mFrontend.mHandler(request, shared_from_this());
}

// Answers a request that could not be read as a whole and closes the
// connection, because the start of the next request is unknown.
void
CallerLink::Reject(int aStatus,
                   std::string_view aReason,
                   const Headers& aHeaders)
{
  auto self = shared_from_this();
  mBusy = true;
  mAnswerStarted = false;
  mCloseAfterAnswer = true;
  mIsWaiting = false;
  OnReceiveEnded(*mFrontend.mBudget, mHolder);
  mRequest = {};
  mHeadBytes = 0;
  bufferevent_disable(mBuffer, EV_READ);
  evbuffer* input = bufferevent_get_input(mBuffer);
  evbuffer_drain(input, evbuffer_get_length(input));
  mFrontend.mOnRefused(aReason);
  Respond(aStatus, aHeaders, {});
  UpdateHeldBytes();
}

void
CallerLink::SendHead(int aStatus,
                     const Headers& aHeaders,
                     std::optional<std::uint64_t> aLength)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + ' ';
  text += ReasonPhrase(aStatus);
  text += "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  // Without a length or chunks the end of the connection is that of the answer.
  mEndsWithConnection = !aLength && !mKnowsChunks;
  if (mCloseAfterAnswer || mEndsWithConnection || mFrontend.mDraining) {
    mCloseAfterAnswer = true;
    text += "Connection: close\r\n";
  }
  mAnswerChunked = !aLength && mKnowsChunks;
  if (HasNoBody(aStatus)) {
    mAnswerHasNoBody = true;
  } else if (aLength) {
    text += "Content-Length: " + std::to_string(*aLength) + "\r\n";
  } else if (mAnswerChunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  text += "\r\n";
  mAnswerStarted = true;
  bufferevent_write(mBuffer, text.data(), text.size());
}

void
CallerLink::Respond(int aStatus,
                    const Headers& aHeaders,
                    std::string_view aBody)
{
  if (!mBuffer || !mBusy || mAnswerStarted) {
    return;
  }
  SendHead(aStatus, aHeaders, aBody.size());
  if (!mAnswerHasNoBody && !aBody.empty()) {
    bufferevent_write(mBuffer, aBody.data(), aBody.size());
  }
  EndAnswer();
}

void
CallerLink::Start(int aStatus,
                  const Headers& aHeaders,
                  std::optional<std::uint64_t> aLength)
{
  if (mBuffer && mBusy && !mAnswerStarted) {
    SendHead(aStatus, aHeaders, aLength);
  }
}

void
CallerLink::Write(std::string_view aBytes)
{
  if (!mBuffer || !mAnswerStarted || mAnswerHasNoBody || aBytes.empty()) {
    return;
  }
  evbuffer* output = bufferevent_get_output(mBuffer);
  if (mAnswerChunked) {
    evbuffer_add_printf(output, "%zx\r\n", aBytes.size());
    evbuffer_add(output, aBytes.data(), aBytes.size());
    evbuffer_add(output, "\r\n", 2);
  } else {
    evbuffer_add(output, aBytes.data(), aBytes.size());
  }
  UpdateHeldBytes();
}

void
CallerLink::Finish()
{
  if (!mBuffer || !mAnswerStarted) {
    return;
  }
  if (mAnswerChunked && !mAnswerHasNoBody) {
    static constexpr std::string_view kLastChunk = "0\r\n\r\n";
    bufferevent_write(mBuffer, kLastChunk.data(), kLastChunk.size());
  }
  EndAnswer();
}

void
CallerLink::EndAnswer()
{
  mBusy = false;
  mOnClosed = {};
  mOnDrained = {};
  mServedBytes = 0;
  UpdateHeldBytes();
  if (mCloseAfterAnswer) {
    mCloseWhenDrained = true;
    if (UnsentBytes() == 0) {
      Close();
    }
    return;
  }
  ResetReader();
  // The next caller that is accepted may take the place of this idle one.
  mFrontend.PauseAccepting(false);
  // The handler may have answered from within Read, so the next request is read
  // in a deferred call.
  auto self = shared_from_this();
  if (evbuffer_get_length(bufferevent_get_input(mBuffer)) > 0) {
    Defer(mFrontend.mLoop, [self] { self->Read(); });
  }
}

void
CallerLink::Abort()
{
  mOnClosed = {};
  if (mBuffer && mAnswerStarted && mEndsWithConnection) {
    ResetOnClose(bufferevent_getfd(mBuffer));
  }
  Close();
}

void
CallerLink::OnDrained()
{
  if (mCloseWhenDrained && !mBusy) {
    Close();
    return;
  }
  UpdateHeldBytes();
  auto drained = mOnDrained;
  if (drained) {
    drained();
  }
}

std::size_t
CallerLink::UnsentBytes() const
{
  return mBuffer ? evbuffer_get_length(bufferevent_get_output(mBuffer)) : 0;
}

void
CallerLink::Close()
{
  if (!mBuffer) {
    return;
  }
  auto self = shared_from_this();
  bufferevent_free(std::exchange(mBuffer, nullptr));
  UpdateHeldBytes();
  RemoveByteHolder(*mFrontend.mBudget, mHolder);
  mFrontend.mHolders.erase(mHolder);
  mFrontend.PauseAccepting(false);
  auto closed = std::exchange(mOnClosed, {});
  mOnDrained = {};
  mBusy = false;
  mFrontend.mLinks.erase(self);
  if (closed) {
    closed();
  }
}

// Checks the timeouts of a connection without an outstanding request. Returns
// false if it is to be closed; answers 408 if the headers arrive too slowly.
bool
CallerLink::EnforceTimeouts(TimeMs aNowMs)
{
  if (mBusy) {
    return true;
  }
  const FrontendLimits& limits = mFrontend.mLimits;
  if (mCloseWhenDrained) {
    return aNowMs - mLastActivityMs < kMaxLingerMs;
  }
  if (mIsWaiting) {
    return true;
  }
  if (mReader->IsStarted()) {
    if (!mHeadReceived && aNowMs - mRequestStartMs > limits.mHeaderTimeoutMs) {
      Reject(408, "header-timeout");
      return true;
    }
    return aNowMs - mLastActivityMs < limits.mIdleTimeoutMs;
  }
  return aNowMs - mLastActivityMs < limits.mIdleTimeoutMs;
}

bool
CallerLink::IsIdle() const
{
  return !mBusy && !mCloseWhenDrained && !mReader->IsStarted() &&
         UnsentBytes() == 0;
}

} // namespace savory
