#pragma once

#include "server.h"

#include <map>

namespace savory {

struct WeightsOptions
{
  std::map<std::string, std::int64_t> mWeightBytes;
  std::int64_t mBytesPerS = 100 * 1024 * 1024;
  int mMaxConcurrentReads = 4;
};

// The weight store: GET /weights/NAME sends bytes at a limited rate, which all
// reads share, or answers 429 with Retry-After above mMaxConcurrentReads.
// Faults: down, cut_after_bytes.
class WeightsStandin : public Standin
{
public:
  WeightsStandin(EventLoop& aLoop, const WeightsOptions& aOptions);

  nlohmann::json Observations() override;

protected:
  void Handle(const HttpRequest& aRequest, const Reply& aReply) override;

private:
  struct Read
  {
    Reply mReply;
    std::int64_t mSizeBytes = 0;
    std::int64_t mSentBytes = 0;
  };

  void SendChunks();

  WeightsOptions mOptions;
  std::vector<Read> mReads;
  std::map<std::string, int> mCounts;
  Timer mSendTimer;
};

} // namespace savory
