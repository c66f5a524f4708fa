#pragma once

#include "savory/core/wire.h"
#include "savory/net/inner.h"

#include <memory>
#include <string>

namespace savory {

// One request from an entry to an agent and its answer. Exactly one of
// mOnRefused, mOnEnd and mOnStreamLost ends it.
class AgentExchange : public std::enable_shared_from_this<AgentExchange>
{
public:
  // Opens a stream and sends head and body. Returns null when the connection
  // is closed; then nothing was sent.
  static std::shared_ptr<AgentExchange> Start(InnerConnection& aConnection,
                                              const std::string& aPath,
                                              const std::string& aHead,
                                              std::string_view aBody);

  // The agent accepted the request; its answer follows.
  sigc::slot<void(const AnswerHead&)> mOnAccepted;
  sigc::slot<void(const AnswerHead&)> mOnRefused;
  sigc::slot<void(std::string_view)> mOnBody;
  sigc::slot<void(const AnswerEnd&)> mOnEnd;
  // The stream closed before the end of the answer; true when the agent had
  // accepted the request.
  sigc::slot<void(bool)> mOnStreamLost;

  // Cancels the request at the agent; no callback runs afterwards.
  void Cancel();
  // Stops the automatic return of flow-control credit, so that the agent sends
  // no more than one window until ReleaseCredit is called.
  void DisableAutomaticCredit();
  void ReleaseCredit();

private:
  void OnFrame(const Frame& aFrame);
  void Finish();

  std::shared_ptr<InnerStream> mStream;
  bool mAccepted = false;
  bool mDone = false;
  bool mAutomaticCreditDisabled = false;
  std::size_t mUnreleasedBytes = 0;
};

} // namespace savory
