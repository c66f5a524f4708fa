#include "settings.h"

#include "exit_codes.h"
#include "savory/core/config_store.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <map>
#include <sstream>
#include <tclap/CmdLine.h>

namespace savory {

namespace {

// Reports errors by an exception, so that the library neither prints nor exits
// the process.
class ThrowingOutput : public TCLAP::StdOutput
{
public:
  void failure(TCLAP::CmdLineInterface&, TCLAP::ArgException& aError) override
  {
    throw aError;
  }
};

// The values of all settings as text, and the errors found so far.
struct RawSettings
{
  std::map<std::string_view, std::string> mValues;
  std::map<std::string_view, bool> mSwitches;
  std::vector<std::string> mArguments;
  std::vector<std::string> mErrors;
};

void
ParseFlags(RawSettings& aRaw, const std::vector<std::string>& aArguments)
{
  TCLAP::CmdLine line("savoryctl", ' ', SAVORY_VERSION, false);
  ThrowingOutput output;
  line.setOutput(&output);
  line.setExceptionHandling(false);
  std::map<std::string_view, std::unique_ptr<TCLAP::ValueArg<std::string>>>
    values;
  std::map<std::string_view, std::unique_ptr<TCLAP::SwitchArg>> switches;
  for (const auto& row : CtlSettingTable()) {
    std::string flag(row.mFlag);
    if (row.mIsSwitch) {
      switches[row.mFlag] =
        std::make_unique<TCLAP::SwitchArg>("", flag, "switch", line);
    } else {
      values[row.mFlag] = std::make_unique<TCLAP::ValueArg<std::string>>(
        "", flag, "value", false, "", "value", line);
    }
  }
  TCLAP::UnlabeledMultiArg<std::string> positional(
    "words", "the command", false, "word", line);
  try {
    std::vector<std::string> arguments = aArguments;
    line.parse(arguments);
  } catch (const TCLAP::ArgException& error) {
    aRaw.mErrors.push_back(error.argId() + ": " + error.error());
  }
  aRaw.mArguments = positional.getValue();
  for (const auto& [flag, argument] : switches) {
    aRaw.mSwitches[flag] = argument->getValue();
  }
  for (const auto& row : CtlSettingTable()) {
    if (row.mIsSwitch) {
      continue;
    }
    const char* variable = row.mVariable.empty()
                             ? nullptr
                             : std::getenv(std::string(row.mVariable).c_str());
    aRaw.mValues[row.mFlag] = values[row.mFlag]->isSet()
                                ? values[row.mFlag]->getValue()
                              : variable ? variable
                                         : std::string(row.mDefault);
  }
}

template<class T>
T
ParseNumber(RawSettings& aRaw, std::string_view aFlag, T aMin, T aMax)
{
  const std::string& text = aRaw.mValues[aFlag];
  T value{};
  auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() ||
      !(value >= aMin && value <= aMax)) {
    std::ostringstream message;
    message << "--" << aFlag << ": \"" << text << "\" is not a number from "
            << aMin << " to " << aMax;
    aRaw.mErrors.push_back(message.str());
  }
  return value;
}

Endpoint
ParseEndpointSetting(RawSettings& aRaw, std::string_view aFlag)
{
  const std::string& text = aRaw.mValues[aFlag];
  if (text.empty()) {
    return {};
  }
  auto endpoint = ParseEndpoint(text);
  if (!endpoint || endpoint->mPort == 0) {
    aRaw.mErrors.push_back(
      "--" + std::string(aFlag) + ": " +
      (endpoint ? "port must not be 0" : endpoint.error()));
    return {};
  }
  return *endpoint;
}

std::string
MakeHelpText()
{
  std::ostringstream text;
  text << "savoryctl " SAVORY_VERSION
          "\nusage: savoryctl COMMAND [WORD ...] [--SETTING VALUE ...]\n"
          "       savoryctl --help | --version\n\nCommands:\n\n";
  for (const auto& row : CommandTable()) {
    text << "  " << row.mName << (row.mUsage.empty() ? "" : " ") << row.mUsage
         << "\n      " << row.mHelp << "\n";
  }
  text << "\nSettings, each with its environment variable:\n\n";
  for (const auto& row : CtlSettingTable()) {
    text << "  --" << row.mFlag;
    if (!row.mVariable.empty()) {
      text << "  (" << row.mVariable << ")";
    }
    if (!row.mDefault.empty()) {
      text << "  default " << row.mDefault;
    }
    text << "\n      " << row.mHelp << "\n";
  }
  text << "\nExit codes:\n\n";
  for (const auto& row : kExitCodeTable) {
    text << "  " << row.mCode << "  " << row.mHelp << "\n";
  }
  return text.str();
}

CommandResult
MakeUsageError(const std::vector<std::string>& aErrors)
{
  CommandResult result;
  result.mExitCode = kExitUsage;
  for (const auto& error : aErrors) {
    result.mText += "savoryctl: " + error + "\n";
  }
  result.mJson = { { "outcome", "usage" }, { "faults", aErrors } };
  return result;
}

// Adds an error for each missing setting that a command needs.
void
CheckRequiredSettings(RawSettings& aRaw, const CommandRow& aRow, bool aWait)
{
  std::vector<std::string_view> needed;
  bool hosts = aRow.mRequiredEndpoint == RequiredEndpoint::HostList ||
               (aRow.mIsChange && aWait);
  if (aRow.mRequiredEndpoint == RequiredEndpoint::Store) {
    needed.emplace_back("store");
  }
  if (hosts) {
    needed.emplace_back("hosts");
    needed.emplace_back("operator-token");
  }
  for (const auto& row : CtlSettingTable()) {
    if (std::find(needed.begin(), needed.end(), row.mFlag) != needed.end() &&
        aRaw.mValues[row.mFlag].empty()) {
      aRaw.mErrors.push_back(
        "--" + std::string(row.mFlag) + " (" + std::string(row.mVariable) +
        ") is missing" +
        (aRow.mIsChange && row.mFlag != "store" ? "; or give --no-wait" : ""));
    }
  }
}

} // namespace

const std::vector<CtlSettingRow>&
CtlSettingTable()
{
  static const std::vector<CtlSettingRow> kTable{
    { "store", "SAVORY_STORE", "", "The platform's store, IP:PORT." },
    { "hosts", "SAVORY_HOSTS", "", "The platform's list of hosts, IP:PORT." },
    { "operator-token",
      "SAVORY_OPERATOR_TOKEN",
      "",
      "The operators' token for the admin ports. Prefer the variable: other "
      "users of a host can see a command line." },
    { "timeout-ms",
      "SAVORY_TIMEOUT_MS",
      "5000",
      "How long a command tries to reach the store or a host, in "
      "milliseconds." },
    { "wait-ms",
      "SAVORY_WAIT_MS",
      "9000",
      "How long a change waits until every host has it, in milliseconds." },
    { "wait", "", "", "Waits after a change; this is the default.", true },
    { "no-wait", "", "", "Ends a change as soon as it is accepted.", true },
    { "operation",
      "",
      "",
      "Id of the change, of at most 64 bytes. With the id of an earlier "
      "attempt the change is made only if that attempt was not accepted." },
    { "json", "", "", "Writes one JSON object instead of text.", true },
    { "secrets", "", "", "Lets show print the session secret.", true },
    { "customer", "", "", "The customer whose bills are shown." },
    { "weight", "", "1", "Share of capacity of a new customer." },
    { "tokens-per-second",
      "",
      "0",
      "Limit of a new customer; 0 means no limit." },
    { "priority", "", "1", "Priority of a new customer." },
  };
  return kTable;
}

const CommandRow*
FindCommand(std::string_view aName)
{
  for (const auto& row : CommandTable()) {
    if (row.mName == aName) {
      return &row;
    }
  }
  return nullptr;
}

tl::expected<CtlSettings, CommandResult>
ParseCtlSettings(const std::vector<std::string>& aArguments)
{
  // 1. Help and version, which ignore all other arguments.
  for (const auto& argument : aArguments) {
    if (argument == "--help" || argument == "-h") {
      return tl::unexpected(CommandResult{ kExitOk, MakeHelpText(), {} });
    }
    if (argument == "--version") {
      return tl::unexpected(
        CommandResult{ kExitOk, "savoryctl " SAVORY_VERSION "\n", {} });
    }
  }

  // 2. Flags and environment variables.
  RawSettings raw;
  ParseFlags(raw, aArguments);
  CtlSettings settings;
  settings.mStore = ParseEndpointSetting(raw, "store");
  settings.mHostList = ParseEndpointSetting(raw, "hosts");
  settings.mOperatorToken = raw.mValues["operator-token"];
  settings.mTimeoutMs =
    ParseNumber<TimeMs>(raw, "timeout-ms", TimeMs(100), TimeMs(600000));
  settings.mWaitMs =
    ParseNumber<TimeMs>(raw, "wait-ms", TimeMs(0), TimeMs(600000));
  settings.mWait = !raw.mSwitches["no-wait"];
  settings.mOperationId = raw.mValues["operation"];
  settings.mPrintsJson = raw.mSwitches["json"];
  settings.mShowsSecret = raw.mSwitches["secrets"];
  settings.mCustomerFilter = raw.mValues["customer"];
  settings.mWeight = ParseNumber<double>(raw, "weight", 1e-6, 1e6);
  settings.mTokensPerSecond =
    ParseNumber<double>(raw, "tokens-per-second", 0, 1e12);
  settings.mPriority = ParseNumber<int>(raw, "priority", 0, 1000000);
  if (settings.mOperationId.size() > kMaxOperationIdBytes) {
    raw.mErrors.emplace_back("--operation: longer than 64 bytes");
  }
  if (raw.mSwitches["no-wait"] && raw.mSwitches["wait"]) {
    raw.mErrors.emplace_back("--wait and --no-wait exclude each other");
  }

  // 3. The command, of one or two words, and the settings it needs.
  const CommandRow* row = nullptr;
  std::size_t length = 0;
  std::string name;
  for (std::size_t i = 0; i < std::min<std::size_t>(2, raw.mArguments.size());
       ++i) {
    name += (i > 0 ? " " : "") + raw.mArguments[i];
    if (const CommandRow* found = FindCommand(name)) {
      row = found;
      length = i + 1;
    }
  }
  if (!row && raw.mErrors.empty()) {
    raw.mErrors.push_back("no command \"" + name + "\"; see savoryctl --help");
  }
  if (row) {
    settings.mCommand = row->mName;
    settings.mArguments.assign(raw.mArguments.begin() +
                                 static_cast<std::ptrdiff_t>(length),
                               raw.mArguments.end());
    if (settings.mArguments.size() < row->mMinArguments ||
        settings.mArguments.size() > row->mMaxArguments) {
      raw.mErrors.push_back("usage: savoryctl " + std::string(row->mName) +
                            " " + std::string(row->mUsage));
    }
    CheckRequiredSettings(raw, *row, settings.mWait);
  }
  if (!raw.mErrors.empty()) {
    return tl::unexpected(MakeUsageError(raw.mErrors));
  }
  return settings;
}

} // namespace savory
