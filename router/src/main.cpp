#include "agent.h"
#include "entry.h"
#include "gateway.h"
#include "node.h"
#include "savory/net/log.h"
#include "settings.h"

#include <csignal>
#include <cstdio>

using namespace savory;

namespace {

// Drains at the first signal and stops the event loop at the second.
struct ShutdownHandler
{
  Node& mNode;
  sigc::slot<void()> mDrain;
  int mSignalCount = 0;
  int mExitCode = kExitOk;

  void OnSignal()
  {
    if (++mSignalCount == 1) {
      mDrain();
      return;
    }
    LogEvent(Event::AbandonedAtStop, { { "reason", "second signal" } });
    mExitCode = kExitAbandoned;
    mNode.mLoop.Stop();
  }
};

template<class RoleProcess>
int
RunRole(Node& aNode)
{
  RoleProcess process(aNode);
  if (!process.Listen()) {
    std::fprintf(stderr, "cannot listen on the given addresses\n");
    return kExitCannotListen;
  }
  ShutdownHandler shutdown{ aNode, [&] { process.Drain(); } };
  SignalWatch terminate(aNode.mLoop, SIGTERM, [&] { shutdown.OnSignal(); });
  SignalWatch interrupt(aNode.mLoop, SIGINT, [&] { shutdown.OnSignal(); });
  LogEvent(Event::ProcessStarted,
           { { "role", std::string(ToName(kRoleNames, aNode.mSettings.mRole)) },
             { "host", aNode.mSettings.mHost },
             { "listen", ToString(aNode.mSettings.mListen) },
             { "inner", ToString(aNode.mSettings.mInner) },
             { "admin", ToString(aNode.mSettings.mAdmin) } });
  aNode.mLoop.Run();
  LogEvent(Event::ProcessStopped,
           { { "exit", std::to_string(shutdown.mExitCode) } });
  return shutdown.mExitCode;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::vector<std::string> arguments(aArguments, aArguments + aCount);
  if (arguments.size() > 1 && arguments[1] == "gateway") {
    return RunGateway(arguments);
  }
  auto settings = ParseSettings(arguments);
  if (!settings) {
    std::fputs(settings.error().mText.c_str(),
               settings.error().mCode == kExitOk ? stdout : stderr);
    return settings.error().mCode;
  }
  if (settings->mCheckOnly) {
    std::puts("settings: ok");
    return kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  StartLog("savorystream");
  Node node(*settings);
  return node.mSettings.mRole == Role::Entry ? RunRole<Entry>(node)
                                             : RunRole<Agent>(node);
}
