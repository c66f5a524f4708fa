#pragma once

#include <array>
#include <string_view>

namespace savory {

// Exit codes of savoryctl; --help and docs/settings.md list them.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitConflict = 3;
inline constexpr int kExitUnreachable = 4;
inline constexpr int kExitUnknown = 5;
inline constexpr int kExitUnconfirmed = 6;
inline constexpr int kExitNotFound = 7;
inline constexpr int kExitCorrupt = 8;

struct ExitCodeRow
{
  int mCode;
  std::string_view mHelp;
};

inline constexpr std::array<ExitCodeRow, 9> kExitCodeTable{ {
  { kExitOk, "done; a change is in force everywhere" },
  { kExitRefused, "a document or change has a fault; nothing was changed" },
  { kExitUsage, "wrong arguments or settings; nothing was changed" },
  { kExitConflict,
    "another operator changed the same fields; nothing was changed" },
  { kExitUnreachable,
    "the store or the list of hosts does not answer; nothing was changed" },
  { kExitUnknown,
    "the change may or may not have been accepted; repeat the command with "
    "--operation ID to learn it" },
  { kExitUnconfirmed,
    "the change is accepted, but not every host has confirmed it in time" },
  { kExitNotFound, "what was asked for is not known" },
  { kExitCorrupt, "a value in the store is damaged; nothing was changed" },
} };

} // namespace savory
