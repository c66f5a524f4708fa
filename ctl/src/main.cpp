#include "settings.h"

#include <csignal>
#include <cstdio>

using namespace savory;

// Runs one command. With --json, prints one JSON object to standard output.
// Otherwise prints text, to standard error when the command failed.
int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> arguments(aArguments, aArguments + aCount);
  auto settings = ParseCtlSettings(arguments);
  CommandResult result = settings
                           ? FindCommand(settings->mCommand)->mRun(*settings)
                           : settings.error();
  if (settings && settings->mPrintsJson) {
    result.mJson["exit"] = result.mExitCode;
    std::string text = result.mJson.dump(
      2, ' ', false, nlohmann::json::error_handler_t::replace);
    std::printf("%s\n", text.c_str());
  } else {
    std::fputs(result.mText.c_str(), result.mExitCode == 0 ? stdout : stderr);
  }
  return result.mExitCode;
}
