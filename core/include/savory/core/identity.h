#pragma once

#include "savory/core/config.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savory {

// The SHA-256 of a text in lower-case hexadecimal.
std::string
Sha256Hex(std::string_view aText);

// The XXH64 hash of a text.
std::uint64_t
Hash64(std::string_view aText, std::uint64_t aSeed = 0);

// The customer whose key hash matches a bearer key, or null.
const Customer*
FindCustomerByKey(const Configuration& aConfig, std::string_view aKey);

// Whether a token is the configuration's operator token.
bool
IsOperatorToken(const Configuration& aConfig, std::string_view aToken);

// The model and version that a session is bound to.
struct SessionBinding
{
  std::string mModel;
  std::string mVersion;
};

// A session id that contains its binding, signed with the configuration's
// session secret: "ss1.MODEL.VERSION.NONCE.SIGNATURE", each field in
// hexadecimal.
std::string
SignSession(const Configuration& aConfig,
            const SessionBinding& aBinding,
            std::uint64_t aNonce);

// The binding of a signed session id; nothing when the id does not have a valid
// signature of this configuration, such as one that the caller chose.
std::optional<SessionBinding>
VerifySession(const Configuration& aConfig, std::string_view aSession);

// The request id of a call with an idempotency key, derived from the customer
// and the key so that a retry is billed to the same request.
std::string
RequestIdForKey(std::string_view aCustomer, std::string_view aKey);

} // namespace savory
