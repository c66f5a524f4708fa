#pragma once

#include "server.h"

#include <map>

namespace savory {

struct ServiceOptions
{
  // Duration of a run.
  TimeMs mWorkMs = 0;
  // Limit of concurrent runs that GET /load reports.
  int mMaxRunning = 64;
};

// A plain service: every call but GET /load is a run, whose answer echoes the
// request with the number of the run. Faults: slow_ms, hang, cut (number of
// answers to cut after the run is done), crash, refuse_status (the status to
// answer without a run).
class ServiceStandin : public Standin
{
public:
  ServiceStandin(EventLoop& aLoop, const ServiceOptions& aOptions);

  nlohmann::json Observations() override;
  void SetFaults(const nlohmann::json& aFaults) override;

protected:
  void Handle(const HttpRequest& aRequest, const Reply& aReply) override;

private:
  void CompleteRun(int aRun, const HttpRequest& aRequest, const Reply& aReply);
  void StartInstance();

  ServiceOptions mOptions;
  std::string mInstance;
  TimeMs mStartMs = 0;
  int mStartCount = 0;
  int mRunCount = 0;
  int mRunning = 0;
  // Runs by idempotency key; runs without a key are under "".
  std::map<std::string, nlohmann::json> mRunsByKey;
};

} // namespace savory
