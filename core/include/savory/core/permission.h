#pragma once

#include "savory/core/config.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace savory {

// Checks that a test can disable to show that it detects their absence. Every
// process uses the defaults; no flag sets them.
struct SafetyChecks
{
  bool mPermission = true;
  bool mVersionState = true;
  bool mSessionPin = true;
};

// Whether work starts on a version or continues a session that is bound to it.
enum class WorkKind
{
  New,
  Session,
};

// Checks whether a customer's work may run on a version: nothing when it may,
// else the code of the refusal. Entry and agent both call it, each with its
// newest configuration: at planning, before each step and retry, at admission
// and when a queued request starts.
std::optional<ErrorCode>
CheckPermission(const Configuration& aConfig,
                const Customer& aCustomer,
                std::string_view aModel,
                std::string_view aVersion,
                WorkKind aKind,
                const SafetyChecks& aChecks = {});

// The version chosen for a request of a session. `mMoved` is set when the
// session's own version was withdrawn, `mSigned` when the session id contains a
// binding.
struct SessionChoice
{
  std::string mModel;
  std::string mVersion;
  bool mMoved = false;
  bool mSigned = false;
  std::string mReason;
};

// The version to which a session without a binding is mapped: the first in the
// model's list, which is the oldest, that is serving or draining and that the
// customer may use. Null when there is none. Shares are ignored, so that a
// roll-out moves no session, and the result depends only on the configuration,
// so that all entries agree.
const Version*
FindSessionVersion(const Model& aModel, const Customer& aCustomer);

// Chooses the version for a request with a session id. `aModel` is the model
// that the request names, or empty; a session without a binding then uses the
// allowed model of the highest configured quality. With `aStrict`, a move away
// from a withdrawn version is refused.
tl::expected<SessionChoice, ErrorCode>
ChooseSessionVersion(const Configuration& aConfig,
                     const Customer& aCustomer,
                     std::string_view aSession,
                     std::string_view aModel,
                     bool aStrict,
                     const SafetyChecks& aChecks = {});

} // namespace savory
