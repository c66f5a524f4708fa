#include "savory/core/types.h"

namespace savory {

int
HttpStatus(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BadRequest:
      return 400;
    case ErrorCode::Unauthorized:
      return 401;
    case ErrorCode::NotAllowed:
      return 403;
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownService:
      return 404;
    case ErrorCode::SessionVersionWithdrawn:
    case ErrorCode::OutcomeUnknown:
      return 409;
    case ErrorCode::BodyTooLarge:
      return 413;
    case ErrorCode::KeyReused:
    case ErrorCode::Quarantined:
      return 422;
    case ErrorCode::CustomerLimit:
    case ErrorCode::RetryBudget:
      return 429;
    case ErrorCode::Internal:
      return 500;
    case ErrorCode::BackendFailed:
      return 502;
    case ErrorCode::DeadlineExceeded:
      return 504;
    default:
      return 503;
  }
}

} // namespace savory
