#pragma once

#include "savory/core/membership.h"
#include "savory/net/http_client.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

enum class BackendKind
{
  Engine,
  Service,
};

inline constexpr std::array<EnumName<BackendKind>, 2> kBackendKindNames{ {
  { BackendKind::Engine, "engine" },
  { BackendKind::Service, "service" },
} };

// The settings of one process. docs/settings.md explains each.
struct Settings
{
  Role mRole = Role::Entry;
  std::string mHost;
  std::string mZone;
  std::string mRegion;
  Endpoint mListen;
  Endpoint mInner;
  Endpoint mAdmin;
  Endpoint mStore;
  Endpoint mHosts;
  Endpoint mRating;
  Endpoint mBackend;
  BackendKind mBackendKind = BackendKind::Engine;
  std::string mPool;
  TimeMs mDrainMs = 30000;
  std::size_t mMaxBodyBytes = 8 * 1024 * 1024;
  int mMaxRunning = 64;
  std::size_t mMemoryMb = 4096;
  bool mCheckOnly = false;
};

// Reason to exit instead of running: the text to print, such as the help or all
// errors of the settings, and the exit code.
struct SettingsExit
{
  int mCode = 0;
  std::string mText;
};

// A row of the settings table, from which flags, environment variables and help
// are made; docs/settings.md lists the same rows.
struct SettingRow
{
  std::string_view mFlag;
  std::string_view mVariable;
  std::string_view mDefault;
  // Role that requires the setting: "entry", "agent", "both" or "" for none.
  std::string_view mRequiredBy;
  std::string_view mHelp;
};

const std::vector<SettingRow>&
SettingTable();

// Reads the flags, and environment variables for flags that are not given.
// Reports all errors at once.
tl::expected<Settings, SettingsExit>
ParseSettings(const std::vector<std::string>& aArguments);

// Exit codes; docs/settings.md lists them.
inline constexpr int kExitOk = 0;
inline constexpr int kExitBadSettings = 2;
inline constexpr int kExitAbandoned = 3;
inline constexpr int kExitCannotListen = 4;

} // namespace savory
