#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savory {

// A point in monotonic time or a duration, in milliseconds.
using TimeMs = std::int64_t;

// Money in millionths of the operators' currency.
using Micros = std::int64_t;

// One row of a table that maps the values of an enumeration to their names.
template<class E>
struct EnumName
{
  E mValue;
  std::string_view mName;
};

// The name of a value, or "?" if the table lacks the value.
template<class E, std::size_t N>
constexpr std::string_view
ToName(const std::array<EnumName<E>, N>& aTable, E aValue)
{
  for (const auto& row : aTable) {
    if (row.mValue == aValue) {
      return row.mName;
    }
  }
  return "?";
}

// The value with a name, or nothing if the table lacks the name.
template<class E, std::size_t N>
constexpr std::optional<E>
ParseName(const std::array<EnumName<E>, N>& aTable, std::string_view aName)
{
  for (const auto& row : aTable) {
    if (row.mName == aName) {
      return row.mValue;
    }
  }
  return std::nullopt;
}

// Whether a call that did not end in a complete answer was executed. For a call
// with an idempotency key, NotRun means that nothing was executed under that
// key; for any other call, that this request was not executed.
enum class ExecutionState
{
  NotRun,
  Ran,
  Unknown,
};

inline constexpr std::array<EnumName<ExecutionState>, 3> kExecutionStateNames{ {
  { ExecutionState::NotRun, "not_run" },
  { ExecutionState::Ran, "ran" },
  { ExecutionState::Unknown, "unknown" },
} };

// Why a call was refused or failed. The names are stable: they are the codes of
// the callers' interface and of the protocol between the processes.
// docs/errors.md lists them.
enum class ErrorCode
{
  BadRequest,
  BodyTooLarge,
  Unauthorized,
  NotAllowed,
  UnknownModel,
  UnknownService,
  VersionWithdrawn,
  SessionVersionWithdrawn,
  NoConfiguration,
  ConfigOlder,
  ConfigStale,
  Draining,
  ZoneOut,
  Overloaded,
  ColdLimit,
  MemoryLimit,
  CustomerLimit,
  RetryBudget,
  ModelNotLoaded,
  NoBackend,
  NotOwner,
  RecordUnavailable,
  OutcomeUnknown,
  KeyReused,
  Quarantined,
  DeadlineExceeded,
  BackendFailed,
  Internal,
};

inline constexpr std::array<EnumName<ErrorCode>, 28> kErrorCodeNames{ {
  { ErrorCode::BadRequest, "bad_request" },
  { ErrorCode::BodyTooLarge, "body_too_large" },
  { ErrorCode::Unauthorized, "unauthorized" },
  { ErrorCode::NotAllowed, "not_allowed" },
  { ErrorCode::UnknownModel, "unknown_model" },
  { ErrorCode::UnknownService, "unknown_service" },
  { ErrorCode::VersionWithdrawn, "version_withdrawn" },
  { ErrorCode::SessionVersionWithdrawn, "session_version_withdrawn" },
  { ErrorCode::NoConfiguration, "no_configuration" },
  { ErrorCode::ConfigOlder, "config_older" },
  { ErrorCode::ConfigStale, "config_stale" },
  { ErrorCode::Draining, "draining" },
  { ErrorCode::ZoneOut, "zone_out" },
  { ErrorCode::Overloaded, "overloaded" },
  { ErrorCode::ColdLimit, "cold_limit" },
  { ErrorCode::MemoryLimit, "memory_limit" },
  { ErrorCode::CustomerLimit, "customer_limit" },
  { ErrorCode::RetryBudget, "retry_budget" },
  { ErrorCode::ModelNotLoaded, "model_not_loaded" },
  { ErrorCode::NoBackend, "no_backend" },
  { ErrorCode::NotOwner, "not_owner" },
  { ErrorCode::RecordUnavailable, "record_unavailable" },
  { ErrorCode::OutcomeUnknown, "outcome_unknown" },
  { ErrorCode::KeyReused, "key_reused" },
  { ErrorCode::Quarantined, "request_quarantined" },
  { ErrorCode::DeadlineExceeded, "deadline_exceeded" },
  { ErrorCode::BackendFailed, "backend_failed" },
  { ErrorCode::Internal, "internal" },
} };

// The HTTP status of the callers' interface for an error code.
int
HttpStatus(ErrorCode aCode);

} // namespace savory
