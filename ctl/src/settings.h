#pragma once

#include "savory/net/http_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

// The settings of one run of savoryctl. docs/settings.md explains each.
struct CtlSettings
{
  std::string mCommand;
  // What follows the command.
  std::vector<std::string> mArguments;
  Endpoint mStore;
  Endpoint mHostList;
  std::string mOperatorToken;
  TimeMs mTimeoutMs = 5000;
  bool mWait = true;
  TimeMs mWaitMs = 9000;
  std::string mOperationId;
  bool mPrintsJson = false;
  bool mShowsSecret = false;
  // The fields of a new customer, and the filter of bills.
  std::string mCustomerFilter;
  double mWeight = 1;
  double mTokensPerSecond = 0;
  int mPriority = 1;
};

// What a command gives back: its exit code, lines for people and the same for
// programs.
struct CommandResult
{
  int mExitCode = 0;
  std::string mText;
  nlohmann::json mJson = nlohmann::json::object();
};

// What the platform's addresses a command needs.
enum class RequiredEndpoint
{
  None,
  Store,
  HostList,
};

// One row of the table of commands, from which the help is made. A change
// needs the store and, unless it does not wait, hosts and token as well.
struct CommandRow
{
  std::string_view mName;
  std::string_view mUsage;
  std::size_t mMinArguments;
  std::size_t mMaxArguments;
  RequiredEndpoint mRequiredEndpoint;
  bool mIsChange;
  std::string_view mHelp;
  CommandResult (*mRun)(const CtlSettings&);
};

// One row of the table of settings, from which flags, environment variables,
// help and docs/settings.md are made. A row without a variable is for the
// command line alone.
struct CtlSettingRow
{
  std::string_view mFlag;
  std::string_view mVariable;
  std::string_view mDefault;
  std::string_view mHelp;
  bool mIsSwitch = false;
};

const std::vector<CommandRow>&
CommandTable();
const std::vector<CtlSettingRow>&
CtlSettingTable();

// The row of a command, or null.
const CommandRow*
FindCommand(std::string_view aName);

// Reads the arguments, then environment variables for what they leave out. The
// error is a result to show: help, version, or all faults of the settings.
tl::expected<CtlSettings, CommandResult>
ParseCtlSettings(const std::vector<std::string>& aArguments);

} // namespace savory
