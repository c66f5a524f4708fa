#include "settings.h"

#include <charconv>
#include <cstdlib>
#include <map>
#include <sstream>
#include <tclap/CmdLine.h>

namespace savory {

namespace {

constexpr std::string_view kVersion = "0.1.0";

// Throws the library's errors, so that the library neither prints nor exits.
class ThrowingOutput : public TCLAP::StdOutput
{
public:
  void failure(TCLAP::CmdLineInterface&, TCLAP::ArgException& aError) override
  {
    throw aError;
  }
};

// The text values of all settings and the errors found so far.
struct RawSettings
{
  std::map<std::string_view, std::string> mValues;
  std::vector<std::string> mErrors;

  const std::string& Text(std::string_view aFlag) { return mValues[aFlag]; }
};

Endpoint
ReadEndpoint(RawSettings& aRaw, std::string_view aFlag)
{
  const std::string& text = aRaw.Text(aFlag);
  if (text.empty()) {
    return {};
  }
  auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    aRaw.mErrors.push_back("--" + std::string(aFlag) + ": " + endpoint.error());
    return {};
  }
  return *endpoint;
}

std::int64_t
ReadNumber(RawSettings& aRaw,
           std::string_view aFlag,
           std::int64_t aMin,
           std::int64_t aMax)
{
  const std::string& text = aRaw.Text(aFlag);
  std::int64_t value = 0;
  auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() ||
      value < aMin || value > aMax) {
    aRaw.mErrors.push_back("--" + std::string(aFlag) + ": \"" + text +
                           "\" is not a number from " + std::to_string(aMin) +
                           " to " + std::to_string(aMax));
  }
  return value;
}

template<class E, std::size_t N>
E
ReadEnum(RawSettings& aRaw,
         std::string_view aFlag,
         const std::array<EnumName<E>, N>& aTable,
         E aDefault)
{
  auto value = ParseName(aTable, aRaw.Text(aFlag));
  if (!value) {
    aRaw.mErrors.push_back("--" + std::string(aFlag) + ": unknown value \"" +
                           aRaw.Text(aFlag) + "\"");
  }
  return value.value_or(aDefault);
}

std::string
MakeHelpText()
{
  std::ostringstream text;
  text << "savorystream " << kVersion
       << "\nusage: savorystream entry|agent [--SETTING VALUE ...]\n"
          "       savorystream --help | --version\n\n"
          "Each setting may also be given by its environment variable.\n\n";
  for (const auto& row : SettingTable()) {
    text << "  --" << row.mFlag << "  (" << row.mVariable << ")";
    if (!row.mDefault.empty()) {
      text << "  default " << row.mDefault;
    }
    if (!row.mRequiredBy.empty()) {
      text << "  required by " << row.mRequiredBy;
    }
    text << "\n      " << row.mHelp << "\n";
  }
  text << "  --check\n      Checks the settings and ends.\n";
  return text.str();
}

// Sets each value from its flag; without one, from its environment variable;
// without either, from its default.
void
ReadValues(RawSettings& aRaw,
           const std::vector<std::string>& aArguments,
           bool& aCheck)
{
  TCLAP::CmdLine line("savorystream", ' ', std::string(kVersion), false);
  ThrowingOutput output;
  line.setOutput(&output);
  line.setExceptionHandling(false);
  std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> flags;
  for (const auto& row : SettingTable()) {
    flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
      "", std::string(row.mFlag), std::string(row.mHelp), false, "", "value"));
    line.add(*flags.back());
  }
  TCLAP::SwitchArg check("", "check", "checks the settings and ends");
  line.add(check);
  try {
    std::vector<std::string> arguments = aArguments;
    line.parse(arguments);
  } catch (const TCLAP::ArgException& error) {
    aRaw.mErrors.push_back(error.argId() + ": " + error.error());
  }
  aCheck = check.getValue();
  for (std::size_t i = 0; i < flags.size(); ++i) {
    const SettingRow& row = SettingTable()[i];
    const char* variable = std::getenv(std::string(row.mVariable).c_str());
    aRaw.mValues[row.mFlag] = flags[i]->isSet() ? flags[i]->getValue()
                              : variable        ? variable
                                                : std::string(row.mDefault);
  }
}

} // namespace

const std::vector<SettingRow>&
SettingTable()
{
  static const std::vector<SettingRow> kTable{
    { "host", "SAVORY_HOST", "", "both", "Name of this host." },
    { "zone", "SAVORY_ZONE", "", "both", "Availability zone of this host." },
    { "region", "SAVORY_REGION", "", "", "Region of the availability zone." },
    { "listen",
      "SAVORY_LISTEN",
      "127.0.0.1:0",
      "",
      "Callers' address of an entry, IP:PORT; port 0 lets the kernel choose." },
    { "inner",
      "SAVORY_INNER",
      "127.0.0.1:0",
      "",
      "Address for the other processes of the system, IP:PORT." },
    { "admin",
      "SAVORY_ADMIN",
      "127.0.0.1:0",
      "",
      "Address for metrics, state dump and operators, IP:PORT." },
    { "store", "SAVORY_STORE", "", "both", "The platform's store, IP:PORT." },
    { "hosts",
      "SAVORY_HOSTS",
      "",
      "both",
      "The platform's list of hosts, IP:PORT." },
    { "rating",
      "SAVORY_RATING",
      "",
      "",
      "The rating service of an entry, IP:PORT; without it no answer is rated "
      "and no exploration is done." },
    { "backend",
      "SAVORY_BACKEND",
      "",
      "agent",
      "The backend server beside an agent, IP:PORT." },
    { "backend-kind",
      "SAVORY_BACKEND_KIND",
      "engine",
      "",
      "Kind of the backend server: engine or service." },
    { "pool",
      "SAVORY_POOL",
      "",
      "agent",
      "Pool of the engine, or name of the plain service." },
    { "drain-ms",
      "SAVORY_DRAIN_MS",
      "30000",
      "",
      "Longest time of a graceful shutdown, in milliseconds." },
    { "max-body-bytes",
      "SAVORY_MAX_BODY_BYTES",
      "8388608",
      "",
      "Largest body of a request; a larger one is refused with 413." },
    { "max-running",
      "SAVORY_MAX_RUNNING",
      "64",
      "",
      "Most requests at the backend server at once, when it reports no number "
      "of its own." },
    { "memory-mb",
      "SAVORY_MEMORY_MB",
      "4096",
      "",
      "Memory of the machine in MiB; while half of it is in use, requests over "
      "64 KiB are cut off as they arrive." },
  };
  return kTable;
}

tl::expected<Settings, SettingsExit>
ParseSettings(const std::vector<std::string>& aArguments)
{
  // 1. Options that exit at once.
  for (const auto& argument : aArguments) {
    if (argument == "--help" || argument == "-h") {
      return tl::unexpected(SettingsExit{ kExitOk, MakeHelpText() });
    }
    if (argument == "--version") {
      return tl::unexpected(SettingsExit{
        kExitOk, "savorystream " + std::string(kVersion) + "\n" });
    }
  }
  auto role =
    aArguments.size() > 1 ? ParseName(kRoleNames, aArguments[1]) : std::nullopt;
  if (!role) {
    return tl::unexpected(SettingsExit{ kExitBadSettings,
                                        "the first argument must be entry or "
                                        "agent; see savorystream --help\n" });
  }

  // 2. Flags and environment.
  std::vector<std::string> rest = aArguments;
  rest.erase(rest.begin() + 1);
  RawSettings raw;
  Settings settings;
  ReadValues(raw, rest, settings.mCheckOnly);

  // 3. Parse each value and collect the errors.
  settings.mRole = *role;
  std::string_view roleName = ToName(kRoleNames, *role);
  for (const auto& row : SettingTable()) {
    bool required = row.mRequiredBy == "both" || row.mRequiredBy == roleName;
    if (required && raw.Text(row.mFlag).empty()) {
      raw.mErrors.push_back("--" + std::string(row.mFlag) + " (" +
                            std::string(row.mVariable) + ") is missing");
    }
  }
  settings.mHost = raw.Text("host");
  settings.mZone = raw.Text("zone");
  settings.mRegion = raw.Text("region");
  settings.mListen = ReadEndpoint(raw, "listen");
  settings.mInner = ReadEndpoint(raw, "inner");
  settings.mAdmin = ReadEndpoint(raw, "admin");
  settings.mStore = ReadEndpoint(raw, "store");
  settings.mHosts = ReadEndpoint(raw, "hosts");
  settings.mRating = ReadEndpoint(raw, "rating");
  settings.mBackend = ReadEndpoint(raw, "backend");
  settings.mBackendKind =
    ReadEnum(raw, "backend-kind", kBackendKindNames, BackendKind::Engine);
  settings.mPool = raw.Text("pool");
  settings.mDrainMs = ReadNumber(raw, "drain-ms", 0, 3600000);
  settings.mMaxBodyBytes =
    static_cast<std::size_t>(ReadNumber(raw, "max-body-bytes", 1024, 1 << 30));
  settings.mMaxRunning =
    static_cast<int>(ReadNumber(raw, "max-running", 1, 100000));
  settings.mMemoryMb =
    static_cast<std::size_t>(ReadNumber(raw, "memory-mb", 16, 1 << 24));

  // 4. Report all errors at once.
  if (!raw.mErrors.empty()) {
    std::string text;
    for (const auto& error : raw.mErrors) {
      text += "settings: " + error + "\n";
    }
    return tl::unexpected(SettingsExit{ kExitBadSettings, text });
  }
  return settings;
}

} // namespace savory
