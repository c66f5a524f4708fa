#include "agent_exchange.h"

namespace savory {

namespace {

// Size of a frame header, which counts against the flow-control window too.
constexpr std::size_t kFrameOverheadBytes = 5;

} // namespace

std::shared_ptr<AgentExchange>
AgentExchange::Start(InnerConnection& aConnection,
                     const std::string& aPath,
                     const std::string& aHead,
                     std::string_view aBody)
{
  auto exchange = std::make_shared<AgentExchange>();
  exchange->mStream = aConnection.Open(aPath);
  if (!exchange->mStream) {
    return nullptr;
  }
  exchange->mStream->mOnFrame = [exchange](const Frame& aFrame) {
    exchange->OnFrame(aFrame);
  };
  exchange->mStream->mOnClosed = [exchange](bool) {
    if (!exchange->mDone) {
      exchange->mDone = true;
      auto onStreamLost = exchange->mOnStreamLost;
      bool accepted = exchange->mAccepted;
      exchange->Finish();
      onStreamLost(accepted);
    }
  };
  exchange->mStream->Send(FrameType::Head, aHead);
  exchange->mStream->Send(FrameType::Body, aBody);
  // A long body takes several frames; the End frame marks it as complete.
  exchange->mStream->Send(FrameType::End, Encode(AnswerEnd{}));
  exchange->mStream->Finish();
  return exchange;
}

void
AgentExchange::OnFrame(const Frame& aFrame)
{
  auto self = shared_from_this();
  if (mDone) {
    return;
  }
  if (aFrame.mType == FrameType::Head) {
    auto head = DecodeAnswerHead(aFrame.mPayload);
    if (!head) {
      return;
    }
    if (head->mAccepted) {
      mAccepted = true;
      mOnAccepted(*head);
      return;
    }
    mDone = true;
    auto onRefused = mOnRefused;
    Finish();
    onRefused(*head);
    return;
  }
  if (aFrame.mType == FrameType::Body) {
    if (mAutomaticCreditDisabled) {
      mUnreleasedBytes += aFrame.mPayload.size() + kFrameOverheadBytes;
    }
    mOnBody(aFrame.mPayload);
    return;
  }
  auto end = DecodeAnswerEnd(aFrame.mPayload);
  if (!end) {
    return;
  }
  mDone = true;
  auto onEnd = mOnEnd;
  Finish();
  onEnd(*end);
}

// Clears the callbacks to break a reference cycle: they own objects that own
// this one.
void
AgentExchange::Finish()
{
  mOnAccepted = {};
  mOnRefused = {};
  mOnBody = {};
  mOnEnd = {};
  mOnStreamLost = {};
}

void
AgentExchange::Cancel()
{
  // A finished stream closes by itself.
  bool running = !std::exchange(mDone, true);
  Finish();
  if (mStream && running) {
    auto stream = std::exchange(mStream, nullptr);
    stream->Cancel();
  }
}

void
AgentExchange::DisableAutomaticCredit()
{
  mAutomaticCreditDisabled = true;
  mStream->DisableAutomaticCredit();
}

void
AgentExchange::ReleaseCredit()
{
  if (mStream && mUnreleasedBytes > 0) {
    mStream->Consume(std::exchange(mUnreleasedBytes, 0));
  }
}

} // namespace savory
