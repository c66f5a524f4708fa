#pragma once

#include "server.h"

#include <deque>

namespace savory {

// The platform's list of hosts: GET /hosts serves it, PUT /hosts replaces it.
// Faults: down, lag_ms (serves the list of lag_ms ago).
class HostsStandin : public Standin
{
public:
  explicit HostsStandin(EventLoop& aLoop);

  nlohmann::json Observations() override;

protected:
  void Handle(const HttpRequest& aRequest, const Reply& aReply) override;

private:
  struct PublishedList
  {
    TimeMs mPublishedMs;
    std::string mJsonText;
  };

  std::deque<PublishedList> mLists;
  int mReadCount = 0;
  int mWriteCount = 0;
};

} // namespace savory
