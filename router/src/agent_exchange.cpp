#include "agent_exchange.h"

namespace savory {

namespace {

// Bytes of the frame header, which count against the window too.
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
      auto broken = exchange->mOnStreamLost;
      bool accepted = exchange->mAccepted;
      exchange->Finish();
      broken(accepted);
    }
  };
  exchange->mStream->Send(FrameType::Head, aHead);
  exchange->mStream->Send(FrameType::Body, aBody);
  // A long body takes several frames; this one says that it is whole.
  exchange->mStream->Send(FrameType::End, Encode(AnswerEnd{}));
  exchange->mStream->Finish();
  return exchange;
}

void
AgentExchange::OnFrame(const Frame& aFrame)
{
  auto keep = shared_from_this();
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
    auto refused = mOnRefused;
    Finish();
    refused(*head);
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
  auto ended = mOnEnd;
  Finish();
  ended(*end);
}

// Lets go of the callbacks, which hold the objects that hold this one.
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
  // A stream that has come to its end closes by itself.
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
