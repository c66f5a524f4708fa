#pragma once

#include "savory/net/http_server.h"

#include <map>
#include <nlohmann/json.hpp>

namespace savory {

using Reply = std::shared_ptr<HttpReply>;

// Base class of the stand-ins: an HTTP server with fault injection by POST
// /fault (its body is merged into mFaults; null removes a fault) and
// observations at GET /seen. Both paths work whatever faults are set.
class Standin
{
public:
  explicit Standin(EventLoop& aLoop);
  virtual ~Standin() = default;
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  // Returns the port, or 0 when the address cannot be used.
  int Listen(const std::string& aAddress, int aPort);

  virtual nlohmann::json Observations() = 0;
  // Merges faults into mFaults, as POST /fault does.
  virtual void SetFaults(const nlohmann::json& aFaults);

protected:
  virtual void Handle(const HttpRequest& aRequest, const Reply& aReply) = 0;
  // Closes all connections and listens on the same address again after
  // aDowntimeMs.
  void DropConnections(TimeMs aDowntimeMs);
  // Calls a slot after a delay, unless the stand-in is destroyed before.
  void CallAfter(TimeMs aDelayMs, sigc::slot<void()> aSlot);
  // Returns whether the count of a fault is above 0, and decrements it then.
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
