#pragma once

#include "server.h"

#include <map>

namespace savory {

struct ServiceOptions
{
  // Time that a run takes, and how many run at once according to GET /load.
  TimeMs mWorkMs = 0;
  int mMaxRunning = 64;
};

// A plain service: every call but GET /load is a run, answered with an echo
// that carries the run's number. Faults: slow_ms, hang, cut (count of answers
// cut after the work is done), crash, refuse_status (answers it without work).
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
  // Runs per idempotency key; those without a key are under "".
  std::map<std::string, nlohmann::json> mRunsByKey;
};

} // namespace savory
