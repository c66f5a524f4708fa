#pragma once

#include "savory/net/http_server.h"

#include <map>
#include <nlohmann/json.hpp>

namespace savory {

using Reply = std::shared_ptr<HttpReply>;

// The common part of the stand-ins: an HTTP server with the fault switches of
// POST /fault (merged into mFaults; null removes one) and the observations of
// GET /seen. Both are served whatever the faults are.
class Standin
{
public:
  explicit Standin(EventLoop& aLoop);
  virtual ~Standin() = default;
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  // Listens; returns the port, or 0 when the address cannot be used.
  int Listen(const std::string& aAddress, int aPort);

  virtual nlohmann::json Observations() = 0;
  // Sets fault switches, as POST /fault does.
  virtual void SetFaults(const nlohmann::json& aFaults);

protected:
  virtual void Handle(const HttpRequest& aRequest, const Reply& aReply) = 0;
  // Drops every connection and listens again under the same address.
  void DropConnections(TimeMs aDowntimeMs);
  // Calls a slot after a delay, unless the stand-in has ended by then.
  void CallAfter(TimeMs aDelayMs, sigc::slot<void()> aSlot);
  // Whether the switch of a count is set; takes one from it.
  bool ConsumeFault(const std::string& aName);

  static void Answer(const Reply& aReply,
                     int aStatus,
                     const nlohmann::json& aBody);

  EventLoop& mLoop;
  nlohmann::json mFaults = nlohmann::json::object();

private:
  void Dispatch(const HttpRequest& aRequest, const Reply& aReply);
  void StartServer();

  std::unique_ptr<HttpServer> mServer;
  std::string mAddress;
  int mPort = 0;
  Timer mReopenTimer;
  std::map<std::int64_t, Timer> mPendingTimers;
  std::int64_t mLastTimerId = 0;
};

} // namespace savory
