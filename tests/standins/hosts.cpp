#include "hosts.h"

namespace savory {

using nlohmann::json;

HostsStandin::HostsStandin(EventLoop& aLoop)
  : Standin(aLoop)
  , mLists{ { 0, "{\"hosts\":[]}" } }
{
}

json
HostsStandin::Seen()
{
  return { { "reads", mReads },
           { "writes", mWrites },
           { "list", json::parse(mLists.back().mList) } };
}

void
HostsStandin::Handle(const HttpRequest& aRequest, const Reply& aReply)
{
  if (mFault.value("down", false)) {
    aReply->Abort();
  } else if (aRequest.mPath != "/hosts") {
    Answer(aReply, 404, { { "error", "no such path" } });
  } else if (aRequest.mMethod == "PUT") {
    ++mWrites;
    mLists.push_back({ MonotonicMs(), json::parse(aRequest.mBody).dump() });
    Answer(aReply, 200, { { "writes", mWrites } });
  } else {
    ++mReads;
    TimeMs at = MonotonicMs() - mFault.value("lag_ms", TimeMs(0));
    auto entry = mLists.rbegin();
    while (std::next(entry) != mLists.rend() && entry->mSinceMs > at) {
      ++entry;
    }
    aReply->Send(200, { { "Content-Type", "application/json" } }, entry->mList);
  }
}

} // namespace savory
