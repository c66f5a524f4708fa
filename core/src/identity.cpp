#include "savory/core/identity.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <vector>
#include <xxhash.h>

namespace savory {

namespace {

constexpr char kHexDigits[] = "0123456789abcdef";
constexpr std::string_view kSessionPrefix = "ss1";
constexpr std::size_t kSessionFieldCount = 5;

std::string
ToHex(std::string_view aBytes)
{
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (unsigned char byte : aBytes) {
    text.push_back(kHexDigits[byte >> 4]);
    text.push_back(kHexDigits[byte & 15]);
  }
  return text;
}

std::optional<std::string>
FromHex(std::string_view aText)
{
  if (aText.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  std::string_view digits = kHexDigits;
  for (std::size_t i = 0; i < aText.size(); i += 2) {
    auto high = digits.find(aText[i]);
    auto low = digits.find(aText[i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    bytes.push_back(static_cast<char>(high << 4 | low));
  }
  return bytes;
}

// The first half of the HMAC-SHA-256, in hexadecimal.
std::string
ComputeSignature(const std::string& aSecret, std::string_view aText)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  unsigned int size = sizeof digest;
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       digest,
       &size);
  return ToHex({ reinterpret_cast<char*>(digest), 16 });
}

// Compares in constant time for texts of equal length.
bool
EqualsConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

std::string
Sha256Hex(std::string_view aText)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(
    reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest);
  return ToHex({ reinterpret_cast<char*>(digest), sizeof digest });
}

std::uint64_t
Hash64(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

const Customer*
FindCustomerByKey(const Configuration& aConfig, std::string_view aKey)
{
  std::string hash = Sha256Hex(aKey);
  for (const auto& customer : aConfig.mCustomers) {
    if (EqualsConstantTime(customer.mKeyHash, hash)) {
      return &customer;
    }
  }
  return nullptr;
}

bool
IsOperatorToken(const Configuration& aConfig, std::string_view aToken)
{
  return EqualsConstantTime(aConfig.mOperatorTokenHash, Sha256Hex(aToken));
}

std::string
SignSession(const Configuration& aConfig,
            const SessionBinding& aBinding,
            std::uint64_t aNonce)
{
  std::string text(kSessionPrefix);
  text += "." + ToHex(aBinding.mModel) + "." + ToHex(aBinding.mVersion) + "." +
          ToHex({ reinterpret_cast<char*>(&aNonce), sizeof aNonce });
  return text + "." + ComputeSignature(aConfig.mSessionSecret, text);
}

std::optional<SessionBinding>
VerifySession(const Configuration& aConfig, std::string_view aSession)
{
  std::vector<std::string_view> fields;
  std::string_view rest = aSession;
  for (auto dot = rest.find('.'); dot != std::string_view::npos;
       dot = rest.find('.')) {
    fields.push_back(rest.substr(0, dot));
    rest.remove_prefix(dot + 1);
  }
  fields.push_back(rest);
  if (fields.size() != kSessionFieldCount || fields[0] != kSessionPrefix) {
    return std::nullopt;
  }
  std::string_view text = aSession.substr(0, aSession.rfind('.'));
  if (!EqualsConstantTime(fields[4],
                          ComputeSignature(aConfig.mSessionSecret, text))) {
    return std::nullopt;
  }
  auto model = FromHex(fields[1]);
  auto version = FromHex(fields[2]);
  if (!model || !version) {
    return std::nullopt;
  }
  return SessionBinding{ *model, *version };
}

std::string
RequestIdForKey(std::string_view aCustomer, std::string_view aKey)
{
  std::string text(aCustomer);
  text.push_back('\0');
  text += aKey;
  return "rk-" + Sha256Hex(text).substr(0, 32);
}

} // namespace savory
