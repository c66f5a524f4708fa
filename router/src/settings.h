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
  bool mCheckOnly = false;
};

// What the command line asks for besides running: text to print and the exit
// code; or all faults of the settings.
struct SettingsExit
{
  int mCode = 0;
  std::string mText;
};

// One row of the table of settings, from which flags, environment variables,
// help and docs/settings.md are made.
struct SettingRow
{
  std::string_view mFlag;
  std::string_view mVariable;
  std::string_view mDefault;
  // Roles that need the setting: "entry", "agent", "both" or "" for optional.
  std::string_view mRequiredBy;
  std::string_view mHelp;
};

const std::vector<SettingRow>&
SettingTable();

// Reads flags, then environment variables for those not given. All faults are
// reported at once.
tl::expected<Settings, SettingsExit>
ParseSettings(const std::vector<std::string>& aArguments);

// Exit codes, listed in docs/settings.md.
inline constexpr int kExitOk = 0;
inline constexpr int kExitBadSettings = 2;
inline constexpr int kExitAbandoned = 3;
inline constexpr int kExitCannotListen = 4;

} // namespace savory
