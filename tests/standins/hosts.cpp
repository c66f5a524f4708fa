#include "hosts.h"

namespace savory {

using nlohmann::json;

HostsStandin::HostsStandin(EventLoop& aLoop)
  : Standin(aLoop)
  , mLists{ { 0, "{\"hosts\":[]}" } }
{
}

json
HostsStandin::Observations()
{
  return { { "reads", mReadCount },
           { "writes", mWriteCount },
           { "list", json::parse(mLists.back().mJsonText) } };
}

void
HostsStandin::Handle(const HttpRequest& aRequest, const Reply& aReply)
{
  if (mFaults.value("down", false)) {
    aReply->Abort();
  } else if (aRequest.mPath != "/hosts") {
    Answer(aReply, 404, { { "error", "no such path" } });
  } else if (aRequest.mMethod == "PUT") {
    ++mWriteCount;
    mLists.push_back({ MonotonicMs(), json::parse(aRequest.mBody).dump() });
    Answer(aReply, 200, { { "writes", mWriteCount } });
  } else {
    ++mReadCount;
    TimeMs latestMs = MonotonicMs() - mFaults.value("lag_ms", TimeMs(0));
    auto entry = mLists.rbegin();
    while (std::next(entry) != mLists.rend() &&
           entry->mPublishedMs > latestMs) {
      ++entry;
    }
    aReply->Send(
      200, { { "Content-Type", "application/json" } }, entry->mJsonText);
  }
}

} // namespace savory
