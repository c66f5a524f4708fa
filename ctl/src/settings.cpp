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

// Reports faults by an exception, so that the library neither prints nor ends
// the process.
class QuietOutput : public TCLAP::StdOutput
{
public:
  void failure(TCLAP::CmdLineInterface&, TCLAP::ArgException& aError) override
  {
    throw aError;
  }
};

// The values of all settings as text, with the faults found so far.
struct RawSettings
{
  std::map<std::string_view, std::string> mValues;
  std::map<std::string_view, bool> mSwitches;
  std::vector<std::string> mWords;
  std::vector<std::string> mFaults;
};

void
ReadFlags(RawSettings& aRaw, const std::vector<std::string>& aArguments)
{
  TCLAP::CmdLine line("savoryctl", ' ', SAVORY_VERSION, false);
  QuietOutput output;
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
  TCLAP::UnlabeledMultiArg<std::string> words(
    "words", "the command", false, "word", line);
  try {
    std::vector<std::string> arguments = aArguments;
    line.parse(arguments);
  } catch (const TCLAP::ArgException& error) {
    aRaw.mFaults.push_back(error.argId() + ": " + error.error());
  }
  aRaw.mWords = words.getValue();
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
ReadNumber(RawSettings& aRaw, std::string_view aFlag, T aLow, T aHigh)
{
  const std::string& text = aRaw.mValues[aFlag];
  T value{};
  auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() ||
      !(value >= aLow && value <= aHigh)) {
    std::ostringstream fault;
    fault << "--" << aFlag << ": \"" << text << "\" is not a number from "
          << aLow << " to " << aHigh;
    aRaw.mFaults.push_back(fault.str());
  }
  return value;
}

Endpoint
ReadEndpoint(RawSettings& aRaw, std::string_view aFlag)
{
  const std::string& text = aRaw.mValues[aFlag];
  if (text.empty()) {
    return {};
  }
  auto endpoint = ParseEndpoint(text);
  if (!endpoint || endpoint->mPort == 0) {
    aRaw.mFaults.push_back("--" + std::string(aFlag) + ": " +
                           (endpoint ? "port 0" : endpoint.error()));
    return {};
  }
  return *endpoint;
}

std::string
HelpText()
{
  std::ostringstream text;
  text << "savoryctl " SAVORY_VERSION
          "\nusage: savoryctl COMMAND [WORD ...] [--SETTING VALUE ...]\n"
          "       savoryctl --help | --version\n\nCommands:\n\n";
  for (const auto& row : CommandTable()) {
    text << "  " << row.mName << (row.mWords.empty() ? "" : " ") << row.mWords
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
UsageError(const std::vector<std::string>& aFaults)
{
  CommandResult result;
  result.mExit = kExitUsage;
  for (const auto& fault : aFaults) {
    result.mText += "savoryctl: " + fault + "\n";
  }
  result.mJson = { { "outcome", "usage" }, { "faults", aFaults } };
  return result;
}

// Adds a fault for each setting that a command needs and does not have.
void
CheckNeeds(RawSettings& aRaw, const CommandRow& aRow, bool aWait)
{
  std::vector<std::string_view> needed;
  bool hosts = aRow.mNeeds == Needs::Hosts || (aRow.mIsChange && aWait);
  if (aRow.mNeeds == Needs::Store) {
    needed.emplace_back("store");
  }
  if (hosts) {
    needed.emplace_back("hosts");
    needed.emplace_back("operator-token");
  }
  for (const auto& row : CtlSettingTable()) {
    if (std::find(needed.begin(), needed.end(), row.mFlag) != needed.end() &&
        aRaw.mValues[row.mFlag].empty()) {
      aRaw.mFaults.push_back(
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
  // 1. What ends at once.
  for (const auto& argument : aArguments) {
    if (argument == "--help" || argument == "-h") {
      return tl::unexpected(CommandResult{ kExitOk, HelpText(), {} });
    }
    if (argument == "--version") {
      return tl::unexpected(
        CommandResult{ kExitOk, "savoryctl " SAVORY_VERSION "\n", {} });
    }
  }

  // 2. Flags and environment.
  RawSettings raw;
  ReadFlags(raw, aArguments);
  CtlSettings settings;
  settings.mStore = ReadEndpoint(raw, "store");
  settings.mHosts = ReadEndpoint(raw, "hosts");
  settings.mToken = raw.mValues["operator-token"];
  settings.mTimeoutMs =
    ReadNumber<TimeMs>(raw, "timeout-ms", TimeMs(100), TimeMs(600000));
  settings.mWaitMs =
    ReadNumber<TimeMs>(raw, "wait-ms", TimeMs(0), TimeMs(600000));
  settings.mWait = !raw.mSwitches["no-wait"];
  settings.mOperation = raw.mValues["operation"];
  settings.mJson = raw.mSwitches["json"];
  settings.mSecrets = raw.mSwitches["secrets"];
  settings.mCustomer = raw.mValues["customer"];
  settings.mWeight = ReadNumber<double>(raw, "weight", 1e-6, 1e6);
  settings.mTokensPerSecond =
    ReadNumber<double>(raw, "tokens-per-second", 0, 1e12);
  settings.mPriority = ReadNumber<int>(raw, "priority", 0, 1000000);
  if (settings.mOperation.size() > kMaxOperationIdBytes) {
    raw.mFaults.emplace_back("--operation: longer than 64 bytes");
  }
  if (raw.mSwitches["no-wait"] && raw.mSwitches["wait"]) {
    raw.mFaults.emplace_back("--wait and --no-wait exclude each other");
  }

  // 3. The command, of one word or two, and what it needs.
  const CommandRow* row = nullptr;
  std::size_t length = 0;
  std::string name;
  for (std::size_t i = 0; i < std::min<std::size_t>(2, raw.mWords.size());
       ++i) {
    name += (i > 0 ? " " : "") + raw.mWords[i];
    if (const CommandRow* found = FindCommand(name)) {
      row = found;
      length = i + 1;
    }
  }
  if (!row && raw.mFaults.empty()) {
    raw.mFaults.push_back("no command \"" + name + "\"; see savoryctl --help");
  }
  if (row) {
    settings.mCommand = row->mName;
    settings.mWords.assign(raw.mWords.begin() +
                             static_cast<std::ptrdiff_t>(length),
                           raw.mWords.end());
    if (settings.mWords.size() < row->mLeastWords ||
        settings.mWords.size() > row->mMostWords) {
      raw.mFaults.push_back("usage: savoryctl " + std::string(row->mName) +
                            " " + std::string(row->mWords));
    }
    CheckNeeds(raw, *row, settings.mWait);
  }
  if (!raw.mFaults.empty()) {
    return tl::unexpected(UsageError(raw.mFaults));
  }
  return settings;
}

} // namespace savory
