#pragma once

#include "savory/core/config.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace savory {

// Parts of the checks that a test can take away to show that its own check
// would notice. Every process uses the defaults; no flag sets them.
struct SafetyChecks
{
  bool mPermission = true;
  bool mVersionState = true;
  bool mSessionPin = true;
};

// New work starts at a version; session work continues at the version that a
// session is bound to.
enum class WorkKind
{
  New,
  Session,
};

// Whether a customer's work may run at a version: nothing when it may, else
// the code of the refusal. Entry and agent both call it, each with its newest
// configuration, at planning, before each step and retry, at admission and
// when a queued request starts.
std::optional<ErrorCode>
CheckPermission(const Configuration& aConfig,
                const Customer& aCustomer,
                std::string_view aModel,
                std::string_view aVersion,
                WorkKind aKind,
                const SafetyChecks& aChecks = {});

// The version of a session's request. `mMoved` says that the session's own
// version was withdrawn; `mSigned` that the session id carried a binding.
struct SessionChoice
{
  std::string mModel;
  std::string mVersion;
  bool mMoved = false;
  bool mSigned = false;
  std::string mReason;
};

// The oldest version of a model, in the order of its list, that a session
// without a binding is mapped to: one that is serving or draining and allowed
// for the customer. Null when there is none. It ignores shares, so that a
// roll-out moves no session, and depends on the configuration alone, so that
// all entries agree.
const Version*
FindSessionVersion(const Model& aModel, const Customer& aCustomer);

// Chooses the version of a request with a session id. `aModel` is the model
// that the request names; without it, a session without a binding uses the
// allowed model of the highest configured quality. `aStrict` refuses a move.
tl::expected<SessionChoice, ErrorCode>
ChooseSessionVersion(const Configuration& aConfig,
                     const Customer& aCustomer,
                     std::string_view aSession,
                     std::string_view aModel,
                     bool aStrict,
                     const SafetyChecks& aChecks = {});

} // namespace savory
