#include "changes.h"

#include "confirm.h"
#include "document.h"
#include "exit_codes.h"
#include "merge.h"
#include "mutations.h"
#include "savory/core/identity.h"

#include <cstdio>
#include <iostream>
#include <random>

namespace savory {

using nlohmann::json;

namespace {

// Hosts that the text for people names.
constexpr std::size_t kNamedHosts = 20;

// Why a mutation is refused, with the exit code that says so.
struct MutationFault
{
  int mExit = kExitRefused;
  std::vector<std::string> mReasons;
};

using Step = std::function<tl::expected<Configuration, MutationFault>(
  const Configuration&)>;

// A step from a small mutation.
template<class Mutate>
Step
SmallStep(Mutate aMutate)
{
  return [aMutate](const Configuration& aConfig)
           -> tl::expected<Configuration, MutationFault> {
    MutationResult result = aMutate(aConfig);
    if (!result) {
      return tl::unexpected(MutationFault{ kExitRefused, { result.error() } });
    }
    return *result;
  };
}

std::string
NewOperationId()
{
  std::random_device device;
  char text[32];
  std::snprintf(text, sizeof text, "op-%08x%08x", device(), device());
  return text;
}

// What an ended change means for the operator.
struct Ending
{
  int mExit;
  std::string_view mOutcome;
};

Ending
EndingOf(const Change& aChange, const RunEnd& aRun)
{
  if (aRun.mGaveUp) {
    return aRun.mMayHaveSwapped ? Ending{ kExitUnknown, "unknown" }
                                : Ending{ kExitUnreachable, "unreachable" };
  }
  switch (aChange.mState) {
    case ChangeState::Accepted:
      return { kExitOk, "accepted" };
    case ChangeState::Unchanged:
      return { kExitOk, "unchanged" };
    case ChangeState::Invalid:
      return { kExitRefused, "refused" };
    case ChangeState::Corrupt:
      return { kExitCorrupt, "corrupt" };
    case ChangeState::Conflict:
      return { kExitConflict, "conflict" };
    default:
      return { kExitUnknown, "unknown" };
  }
}

// Waits for the hosts and adds what they said to a result.
void
AddConfirmation(Session& aSession, std::int64_t aRevision, CommandResult& aTo)
{
  Confirmation confirmation = WaitForRevision(aSession, aRevision);
  json unconfirmed = json::array();
  for (const auto& host : confirmation.mUnconfirmed) {
    unconfirmed.push_back(
      { { "host", host.mHost }, { "reason", host.mReason } });
  }
  aTo.mJson["confirmed"] = confirmation.mConfirmed;
  aTo.mJson["unconfirmed"] = unconfirmed;
  aTo.mJson["wait_ms"] = confirmation.mTookMs;
  aTo.mJson["hosts_listed"] = confirmation.mListed;
  if (confirmation.mListed && confirmation.mUnconfirmed.empty()) {
    aTo.mText +=
      "in force everywhere: " + std::to_string(confirmation.mConfirmed) +
      " hosts after " + std::to_string(confirmation.mTookMs) + " ms\n";
    return;
  }
  aTo.mExit = kExitUnconfirmed;
  if (!confirmation.mListed) {
    aTo.mText += "not confirmed: the list of hosts does not answer\n";
    return;
  }
  std::size_t count = confirmation.mUnconfirmed.size();
  aTo.mText += "not confirmed by " + std::to_string(count) + " of " +
               std::to_string(count + confirmation.mConfirmed) +
               " hosts after " + std::to_string(confirmation.mTookMs) +
               " ms:\n";
  for (std::size_t i = 0; i < count; ++i) {
    if (i == kNamedHosts) {
      aTo.mText += "  and " + std::to_string(count - i) + " more\n";
      break;
    }
    aTo.mText += "  " + confirmation.mUnconfirmed[i].mHost + ": " +
                 confirmation.mUnconfirmed[i].mReason + "\n";
  }
}

// Takes a change through the store and reports what became of it.
CommandResult
MakeChange(Session& aSession, const Step& aStep)
{
  // 1. The change. Its id is shown first, so that an operator whose tool ends
  // half-way can ask with it.
  const CtlSettings& settings = aSession.mSettings;
  std::string id =
    settings.mOperation.empty() ? NewOperationId() : settings.mOperation;
  std::cerr << "operation " << id << std::endl;
  std::optional<MutationFault> fault;
  Change change = StartChange(id, [&](Configuration& aConfig) {
    fault.reset();
    auto next = aStep(aConfig);
    if (next) {
      aConfig = std::move(*next);
    } else {
      fault = next.error();
    }
  });
  RunEnd run = aSession.RunChange(change);

  // 2. Its end. A refused mutation leaves the configuration as it is.
  Ending ending = EndingOf(change, run);
  std::vector<std::string> reasons = change.mReasons;
  if (run.mGaveUp) {
    reasons = { "the store does not answer" };
  }
  bool refused = fault && change.mState != ChangeState::Accepted;
  if (refused && (change.mState == ChangeState::Unchanged ||
                  change.mState == ChangeState::Invalid)) {
    ending = { fault->mExit,
               fault->mExit == kExitConflict ? "conflict" : "refused" };
    reasons = fault->mReasons;
  }
  CommandResult result;
  result.mExit = ending.mExit;
  result.mJson = { { "command", settings.mCommand },
                   { "operation", id },
                   { "outcome", ending.mOutcome },
                   { "reasons", reasons } };
  if (ending.mExit != kExitOk) {
    result.mText = std::string(ending.mOutcome) + ":\n";
    for (const auto& reason : reasons) {
      result.mText += "  " + reason + "\n";
    }
    result.mText += ending.mExit == kExitUnknown
                      ? "the change may or may not have been accepted; repeat "
                        "the command with --operation " +
                          id + "\n"
                      : "nothing was changed\n";
    return result;
  }
  result.mJson["revision"] = change.mRevision;
  result.mText = std::string(ending.mOutcome) + " as revision " +
                 std::to_string(change.mRevision) + "\n";
  if (change.mState == ChangeState::Unchanged) {
    result.mText = "nothing to change at revision " +
                   std::to_string(change.mRevision) + "\n";
  }

  // 3. In force.
  if (settings.mWait) {
    AddConfirmation(aSession, change.mRevision, result);
  }
  return result;
}

template<class Mutate>
CommandResult
MakeSmallChange(const CtlSettings& aSettings, Mutate aMutate)
{
  Session session(aSettings);
  return MakeChange(session, SmallStep(aMutate));
}

// The last word of a command such as "zone out".
std::string
ActionOf(const CtlSettings& aSettings)
{
  return aSettings.mCommand.substr(aSettings.mCommand.find(' ') + 1);
}

// The document of a configuration without its revision.
json
Fields(const Configuration& aConfig)
{
  json document = ToJson(aConfig);
  document.erase("revision");
  return document;
}

// Brings a whole document, edited from aBase, onto the configuration in force.
tl::expected<Configuration, MutationFault>
MergeOnto(const Configuration& aBase,
          const Configuration& aMine,
          const Configuration& aTheirs)
{
  json base = Fields(aBase);
  json mine = Fields(aMine);
  if (aMine.mSessionSecret == kHiddenSecret) {
    mine["session_secret"] = aBase.mSessionSecret;
  }
  std::vector<std::string> conflicts;
  json merged = MergeDocuments(base, mine, Fields(aTheirs), "", conflicts);
  if (!conflicts.empty()) {
    MutationFault fault{ kExitConflict, {} };
    for (const auto& path : conflicts) {
      fault.mReasons.push_back(path + " was changed since revision " +
                               std::to_string(aBase.mRevision));
    }
    return tl::unexpected(std::move(fault));
  }
  auto config = ParseConfiguration(merged);
  if (!config) {
    MutationFault fault{ kExitRefused, {} };
    for (const auto& error : config.error()) {
      fault.mReasons.push_back(error.mPath + ": " + error.mReason);
    }
    return tl::unexpected(std::move(fault));
  }
  config->mRevision = aTheirs.mRevision;
  return *config;
}

CommandResult
Refused(int aExit, const std::string& aReason)
{
  CommandResult result;
  result.mExit = aExit;
  result.mText = aReason + "\nnothing was changed\n";
  std::string_view outcome = aExit == kExitUnreachable ? "unreachable"
                             : aExit == kExitConflict  ? "conflict"
                             : aExit == kExitCorrupt   ? "corrupt"
                                                       : "refused";
  result.mJson = { { "outcome", outcome }, { "reasons", { aReason } } };
  return result;
}

} // namespace

CommandResult
InitCommand(const CtlSettings& aSettings)
{
  const std::string& file = aSettings.mWords[0];
  auto config = ReadDocument(file);
  if (config && config->mSessionSecret == kHiddenSecret) {
    config = tl::unexpected(std::vector<ConfigError>{
      { "session_secret", "must be given in a first configuration" } });
  }
  if (!config) {
    return FaultsOf(file, config.error());
  }
  Session session(aSettings);
  return MakeChange(session,
                    [&](const Configuration& aPresent)
                      -> tl::expected<Configuration, MutationFault> {
                      if (aPresent.mRevision > 0) {
                        return tl::unexpected(MutationFault{
                          kExitRefused,
                          { "the store already has a configuration, revision " +
                            std::to_string(aPresent.mRevision) } });
                      }
                      return *config;
                    });
}

CommandResult
ApplyCommand(const CtlSettings& aSettings)
{
  // 1. The document and the revision that it was edited from.
  const std::string& file = aSettings.mWords[0];
  auto mine = ReadDocument(file);
  if (mine && mine->mRevision < 1) {
    mine = tl::unexpected(std::vector<ConfigError>{
      { "revision",
        "must be the revision that the document was made from; see "
        "savoryctl show" } });
  }
  if (!mine) {
    return FaultsOf(file, mine.error());
  }
  Session session(aSettings);
  auto base = session.ReadConfiguration();
  if (!base) {
    return Refused(base.error().mExit, base.error().mReason);
  }
  if (mine->mRevision > base->mRevision) {
    return Refused(kExitRefused,
                   "revision " + std::to_string(mine->mRevision) +
                     " of the document is newer than revision " +
                     std::to_string(base->mRevision) + " in the store");
  }
  if (mine->mRevision < base->mRevision) {
    base = session.ReadRevision(mine->mRevision);
    if (!base && base.error().mExit == kExitNotFound) {
      return Refused(kExitConflict,
                     base.error().mReason +
                       "; make the change again from savoryctl show");
    }
    if (!base) {
      return Refused(base.error().mExit, base.error().mReason);
    }
  }

  // 2. The change.
  return MakeChange(session, [&](const Configuration& aTheirs) {
    return MergeOnto(*base, *mine, aTheirs);
  });
}

CommandResult
PresetCommand(const CtlSettings& aSettings)
{
  return MakeSmallChange(aSettings, [&](const Configuration& aConfig) {
    return SetPreset(aConfig, aSettings.mWords[0]);
  });
}

CommandResult
VersionCommand(const CtlSettings& aSettings)
{
  const std::string& model = aSettings.mWords[0];
  const std::string& version = aSettings.mWords[1];
  std::string action = ActionOf(aSettings);
  return MakeSmallChange(aSettings, [&](const Configuration& aConfig) {
    if (action == "add") {
      return AddVersion(aConfig, model, version);
    }
    VersionState state = action == "withdraw" ? VersionState::Withdrawn
                         : action == "drain"  ? VersionState::Draining
                                              : VersionState::Serving;
    return SetVersionState(aConfig, model, version, state);
  });
}

CommandResult
RolloutChangeCommand(const CtlSettings& aSettings)
{
  Rollout rollout{
    aSettings.mWords[0], aSettings.mWords[1], aSettings.mWords[2], 0
  };
  auto command = ParseName(kRolloutCommandNames, ActionOf(aSettings));
  return MakeSmallChange(aSettings, [&](const Configuration& aConfig) {
    return ChangeRollout(aConfig, *command, rollout);
  });
}

CommandResult
ZoneCommand(const CtlSettings& aSettings)
{
  bool out = ActionOf(aSettings) == "out";
  return MakeSmallChange(aSettings, [&](const Configuration& aConfig) {
    return out ? TakeZoneOut(aConfig, aSettings.mWords[0])
               : BringZoneIn(aConfig, aSettings.mWords[0]);
  });
}

CommandResult
CustomerCommand(const CtlSettings& aSettings)
{
  const std::string& name = aSettings.mWords[0];
  std::string action = ActionOf(aSettings);
  std::vector<std::string> items(aSettings.mWords.begin() +
                                   (action == "add" ? 2 : 1),
                                 aSettings.mWords.end());
  if (action == "remove") {
    return MakeSmallChange(aSettings, [&](const Configuration& aConfig) {
      return RemoveCustomer(aConfig, name);
    });
  }
  if (action != "add") {
    return MakeSmallChange(aSettings, [&](const Configuration& aConfig) {
      return action == "allow" ? AllowItems(aConfig, name, items)
                               : DenyItems(aConfig, name, items);
    });
  }

  // The key itself never stands on a command line, which others can see.
  std::string hash = aSettings.mWords[1];
  if (hash == "-") {
    std::string key;
    std::getline(std::cin, key);
    if (key.empty()) {
      return Refused(kExitUsage, "no key on standard input");
    }
    hash = Sha256Hex(key);
  }
  if (hash.size() != 64 ||
      hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return Refused(kExitUsage,
                   "KEY-HASH must be a SHA-256 in lower-case hexadecimal, or "
                   "- to read the key from standard input");
  }
  Customer customer{ .mName = name,
                     .mKeyHash = hash,
                     .mAllowedModels = {},
                     .mServices = {},
                     .mWeight = aSettings.mWeight,
                     .mTokensPerSecond = aSettings.mTokensPerSecond,
                     .mPriority = aSettings.mPriority };
  return MakeSmallChange(aSettings, [&](const Configuration& aConfig) {
    auto added = AddCustomer(aConfig, customer);
    return added ? AllowItems(*added, name, items) : added;
  });
}

} // namespace savory
