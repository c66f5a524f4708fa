#pragma once

#include "savory/net/http_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

// Settings of one run of savoryctl; docs/settings.md describes each.
struct CtlSettings
{
  std::string mCommand;
  // The positional arguments after the command.
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
  // Limits `bills` to one customer; empty means all.
  std::string mCustomerFilter;
  // Fields of the customer that `customer add` creates.
  double mWeight = 1;
  double mTokensPerSecond = 0;
  int mPriority = 1;
};

// The result of a command: its exit code and its report, as text and as JSON.
struct CommandResult
{
  int mExitCode = 0;
  std::string mText;
  nlohmann::json mJson = nlohmann::json::object();
};

// The platform address that a command needs. HostList implies the
// operators' token.
enum class RequiredEndpoint
{
  None,
  Store,
  HostList,
};

// One row of the command table, from which the help text is generated. A change
// needs the store and, unless --no-wait is given, the host list and the
// operators' token as well.
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

// One row of the settings table, from which flags, environment variables, help
// text and docs/settings.md are generated. A row without a variable can only be
// set on the command line.
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

// Returns the row of a command, or null when there is none.
const CommandRow*
FindCommand(std::string_view aName);

// Parses the arguments and takes settings that they leave out from environment
// variables. The error is a result to print: the help text, the version, or all
// errors in the settings.
tl::expected<CtlSettings, CommandResult>
ParseCtlSettings(const std::vector<std::string>& aArguments);

} // namespace savory
