#pragma once

#include "savory/core/config.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

// The small changes of an operator. Each gives the configuration after the
// change, which equals the given one when there is nothing to do, or the reason
// why it is refused.
using MutationResult = tl::expected<Configuration, std::string>;

MutationResult
SetPreset(const Configuration& aConfig, const std::string& aPreset);

// Adds a withdrawn version to a model, as the target of a later roll-out.
MutationResult
AddVersion(const Configuration& aConfig,
           const std::string& aModel,
           const std::string& aVersion);

// Withdrawal makes a draining version serve again when no other does. It ends
// the roll-out of the version.
MutationResult
SetVersionState(const Configuration& aConfig,
                const std::string& aModel,
                const std::string& aVersion,
                VersionState aState);

enum class RolloutCommand
{
  Start,
  Continue,
  Undo,
  Stop,
};

inline constexpr std::array<EnumName<RolloutCommand>, 4> kRolloutCommandNames{ {
  { RolloutCommand::Start, "start" },
  { RolloutCommand::Continue, "continue" },
  { RolloutCommand::Undo, "undo" },
  { RolloutCommand::Stop, "stop" },
} };

// Continue moves a roll-out on by one stage, and past the last one ends it with
// the new version serving. Stop ends it with the new version withdrawn. Undo
// does the same during a roll-out and, after one has ended, makes the old
// version serve again and withdraws the new one.
MutationResult
ChangeRollout(const Configuration& aConfig,
              RolloutCommand aCommand,
              const Rollout& aRollout);

MutationResult
SetZoneOut(const Configuration& aConfig, const std::string& aZone);

// Brings a zone that is out to returning, and one that is returning to in.
MutationResult
AdvanceZoneReturn(const Configuration& aConfig, const std::string& aZone);

MutationResult
AddCustomer(const Configuration& aConfig, const Customer& aCustomer);

MutationResult
RemoveCustomer(const Configuration& aConfig, const std::string& aName);

// Allows models, versions ("model@version") and services, or forbids them. To
// deny one version of a model that is allowed whole leaves its other versions
// allowed, but not those that are added later.
MutationResult
AllowItems(const Configuration& aConfig,
           const std::string& aCustomer,
           const std::vector<std::string>& aItems);
MutationResult
DenyItems(const Configuration& aConfig,
          const std::string& aCustomer,
          const std::vector<std::string>& aItems);

} // namespace savory
