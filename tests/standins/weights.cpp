#include "weights.h"

#include <algorithm>

namespace savory {

using nlohmann::json;

namespace {

constexpr TimeMs kSendIntervalMs = 10;
constexpr std::size_t kMaxPendingBytes = 1024 * 1024;

} // namespace

WeightsStandin::WeightsStandin(EventLoop& aLoop, const WeightsOptions& aOptions)
  : Standin(aLoop)
  , mOptions(aOptions)
  , mSendTimer(Timer::Every(aLoop, kSendIntervalMs, [this] { SendChunks(); }))
{
}

json
WeightsStandin::Observations()
{
  return { { "reads", mCounts }, { "reading", mReads.size() } };
}

void
WeightsStandin::Handle(const HttpRequest& aRequest, const Reply& aReply)
{
  constexpr std::string_view kPrefix = "/weights/";
  std::string name = aRequest.mPath.starts_with(kPrefix)
                       ? aRequest.mPath.substr(kPrefix.size())
                       : "";
  auto found = mOptions.mWeightBytes.find(name);
  if (mFaults.value("down", false)) {
    aReply->Abort();
  } else if (found == mOptions.mWeightBytes.end()) {
    Answer(aReply, 404, { { "error", "no such weights" } });
  } else if (mReads.size() >=
             static_cast<std::size_t>(mOptions.mMaxConcurrentReads)) {
    ++mCounts["limited"];
    aReply->Send(429, { { "Retry-After", "1" } }, "");
  } else {
    ++mCounts[name];
    aReply->Start(200,
                  { { "Content-Type", "application/octet-stream" },
                    { "Content-Length", std::to_string(found->second) } });
    mReads.push_back({ aReply, found->second, 0 });
  }
}

void
WeightsStandin::SendChunks()
{
  auto cut = mFaults.value("cut_after_bytes", std::int64_t(-1));
  bool down = mFaults.value("down", false);
  auto count = static_cast<std::int64_t>(mReads.size());
  for (auto& read : mReads) {
    std::int64_t size =
      std::min(read.mSizeBytes - read.mSentBytes,
               mOptions.mBytesPerS * kSendIntervalMs / 1000 / count);
    if (down || (cut >= 0 && read.mSentBytes + size > cut)) {
      read.mReply->Abort();
    } else if (read.mReply->PendingBytes() < kMaxPendingBytes) {
      read.mReply->Chunk(std::string(static_cast<std::size_t>(size), 'w'));
      read.mSentBytes += size;
    }
    if (read.mSentBytes == read.mSizeBytes) {
      read.mReply->End();
    }
  }
  std::erase_if(mReads, [](const Read& aRead) {
    return aRead.mReply->IsCallerDisconnected();
  });
}

} // namespace savory
