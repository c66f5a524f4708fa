#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

// The life of a version. Only Serving and Candidate receive new work; Draining
// keeps its sessions and receives no other work.
enum class VersionState
{
  Candidate,
  Serving,
  Draining,
  Withdrawn,
};

inline constexpr std::array<EnumName<VersionState>, 4> kVersionStateNames{ {
  { VersionState::Candidate, "candidate" },
  { VersionState::Serving, "serving" },
  { VersionState::Draining, "draining" },
  { VersionState::Withdrawn, "withdrawn" },
} };

enum class ZoneState
{
  In,
  Returning,
  Out,
};

inline constexpr std::array<EnumName<ZoneState>, 3> kZoneStateNames{ {
  { ZoneState::In, "in" },
  { ZoneState::Returning, "returning" },
  { ZoneState::Out, "out" },
} };

// What a preset gives up first when quality, deadline and cost cannot all hold.
enum class GiveWay
{
  Cost,
  Quality,
  Deadline,
};

inline constexpr std::array<EnumName<GiveWay>, 3> kGiveWayNames{ {
  { GiveWay::Cost, "cost" },
  { GiveWay::Quality, "quality" },
  { GiveWay::Deadline, "deadline" },
} };

// One version of a model. `mShare` is the share of new work in [0, 1] that a
// candidate receives; serving versions share the rest by equal parts.
struct Version
{
  std::string mName;
  VersionState mState = VersionState::Serving;
  double mShare = 0;
};

// A model with its prices and the operators' prior of its quality, the share
// in [0, 1] of its answers that pass.
struct Model
{
  std::string mName;
  Micros mInputCostPerToken = 0;
  Micros mOutputCostPerToken = 0;
  double mQuality = 0.5;
  int mColdConcurrency = 1;
  std::vector<Version> mVersions;
};

// A customer. `mAllowedModels` holds "model" or "model@version"; `mKeyHash` is
// the lower-case hexadecimal SHA-256 of the bearer key. `mWeight` is the share
// of capacity relative to other customers; `mTokensPerSecond` 0 means no limit.
struct Customer
{
  std::string mName;
  std::string mKeyHash;
  std::vector<std::string> mAllowedModels;
  std::vector<std::string> mServices;
  double mWeight = 1;
  double mTokensPerSecond = 0;
  int mPriority = 1;
};

// A call that must run at most once: method and path prefix under the service.
struct NonIdempotentCall
{
  std::string mMethod;
  std::string mPathPrefix;
};

// A plain service, reached by callers under /NAME/. `mSlots` is the number of
// parts its keys are split into, each owned by one agent.
struct Service
{
  std::string mName;
  int mSlots = 1;
  std::vector<NonIdempotentCall> mNonIdempotentCalls;
};

struct Zone
{
  std::string mName;
  std::string mRegion;
  ZoneState mState = ZoneState::In;
};

// Goals for a kind of day. `mQualityTarget` is the share of answers in [0, 1]
// that must pass; customers of a priority below `mShedBelowPriority` are
// refused first.
struct Preset
{
  std::string mName;
  double mQualityTarget = 0.9;
  TimeMs mDeadlineMs = 30000;
  GiveWay mGiveWay = GiveWay::Cost;
  int mShedBelowPriority = 0;
  int mMaxSteps = 2;
};

// A roll-out under way. The stage indexes the ramp of rollout.h.
struct Rollout
{
  std::string mModel;
  std::string mBaselineVersion;
  std::string mTargetVersion;
  int mStage = 0;
};

// A complete configuration. `mRevision` counts accepted changes; 0 is none.
struct Configuration
{
  std::int64_t mRevision = 0;
  std::vector<Customer> mCustomers;
  std::vector<Model> mModels;
  std::vector<Service> mServices;
  std::vector<Zone> mZones;
  std::vector<Preset> mPresets;
  std::vector<Rollout> mRollouts;
  std::string mPresetInForce;
  std::string mSessionSecret;
  std::string mOperatorTokenHash;
  std::vector<std::string> mFencingPools;
};

// A fault of a configuration: the path of the field, such as
// "models[2].versions[0].state", and what is wrong with it.
struct ConfigError
{
  std::string mPath;
  std::string mReason;
};

// Reads a configuration from JSON. A document with any fault is refused whole,
// with all faults that were found.
tl::expected<Configuration, std::vector<ConfigError>>
ParseConfiguration(const nlohmann::json& aDocument);

// Checks what holds between fields: names are unique, references resolve, one
// preset is in force, at least one zone is not out. Empty when there is none.
std::vector<ConfigError>
ValidateConfiguration(const Configuration& aConfig);

// The document that ParseConfiguration reads back to an equal value.
nlohmann::json
ToJson(const Configuration& aConfig);

// One line for each difference, such as "zones[gulf-a].state: in -> out".
std::vector<std::string>
DiffConfiguration(const Configuration& aFrom, const Configuration& aTo);

// Look-ups by name; null when there is none. The pointers live as long as the
// configuration.
const Model*
FindModel(const Configuration& aConfig, std::string_view aName);
const Version*
FindVersion(const Model& aModel, std::string_view aName);
const Customer*
FindCustomer(const Configuration& aConfig, std::string_view aName);
const Service*
FindService(const Configuration& aConfig, std::string_view aName);
const Zone*
FindZone(const Configuration& aConfig, std::string_view aName);
const Preset&
PresetInForce(const Configuration& aConfig);

// Whether a customer may use a version of a model.
bool
IsAllowed(const Customer& aCustomer,
          std::string_view aModel,
          std::string_view aVersion);

// Whether a call of a service must not run twice.
bool
IsNonIdempotent(const Service& aService,
                std::string_view aMethod,
                std::string_view aPath);

} // namespace savory
