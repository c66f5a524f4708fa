#pragma once

#include "node.h"
#include "savory/net/http_server.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace savory {

// The handlers by which a role serves its admin port.
struct AdminHandlers
{
  // The state dump, as JSON.
  sigc::slot<nlohmann::json()> mState;
  // The metrics in the text exposition format.
  sigc::slot<std::string()> mMetrics;
  // The decisions for one request id; null when this process has none.
  sigc::slot<nlohmann::json(const std::string&)> mExplain;
  // A hint from an operator's tool that the configuration has changed.
  sigc::slot<void()> mRefresh;
};

// The admin port of a process: GET /healthz, /metrics, /state and
// /explain/REQUEST-ID, and POST /refresh. All but /healthz and /metrics need
// the operators' token.
class Admin
{
public:
  Admin(Node& aNode, AdminHandlers aHandlers);

  // Listens on the admin address of the settings; false when that fails.
  bool Listen();

private:
  void OnRequest(const HttpRequest& aRequest, HttpReply& aReply);

  Node& mNode;
  AdminHandlers mHandlers;
  std::unique_ptr<HttpServer> mServer;
};

} // namespace savory
